package beaconladder.cells;

import java.util.List;

/**
 * The state of one slot of a migration, from one round of queries to the hosts of both groups. Positions are log
 * positions in nanoseconds of Unix time; Long.MIN_VALUE stands for none.
 *
 * @param queriedAtNanos when the first of these queries was sent
 * @param sourcePrimary the only member of the old group that claims to be primary, or null
 * @param sourcePosition the log position of that member
 * @param targetPrimary the only member of the new group that claims to be primary, or null
 * @param targetPosition the log position of that member
 * @param copiedPositions for each ready member of the new group, the position in the old group's log up to which it has
 *     copied the tenant's data
 */
public record MigrationObservation(
        long queriedAtNanos,
        String sourcePrimary,
        long sourcePosition,
        String targetPrimary,
        long targetPosition,
        List<Long> copiedPositions) {
    /** The state before the first query. */
    public static final MigrationObservation NONE =
            new MigrationObservation(Long.MIN_VALUE, null, Long.MIN_VALUE, null, Long.MIN_VALUE, List.of());

    boolean hasBothPrimaries() {
        return sourcePrimary != null && targetPrimary != null;
    }

    /** Returns the lowest copied position of the ready members of the new group, or Long.MIN_VALUE. */
    long copiedByAll() {
        return targetPrimary == null
                ? Long.MIN_VALUE
                : copiedPositions.stream().mapToLong(Long::longValue).min().orElse(Long.MIN_VALUE);
    }

    /** Returns whether a query sent after this time showed that every ready member has copied up to this position. */
    boolean hasCopiedUpTo(long position, long sinceNanos) {
        return queriedAtNanos > sinceNanos
                && targetPrimary != null
                && targetPosition != Long.MIN_VALUE
                && copiedByAll() >= position;
    }
}
