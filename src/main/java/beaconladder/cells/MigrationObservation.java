package beaconladder.cells;

import java.util.List;

/**
 * What the coordinator observed of one slot of a migration when it queried the hosts of both groups. Positions are log
 * positions in nanoseconds on the clock that all machines read; Long.MIN_VALUE stands for none.
 *
 * @param queriedAtNanos when the first of these queries was sent
 * @param sourcePrimary the only member of the old group that claims to be primary, or null
 * @param sourcePosition the log position of that member
 * @param targetPrimary the only member of the new group that claims to be primary, or null
 * @param targetPosition the log position of that member
 * @param copiedPositions by ready member of the new group, up to which position of the old group's log it has the
 *     tenant's copy
 */
public record MigrationObservation(
        long queriedAtNanos,
        String sourcePrimary,
        long sourcePosition,
        String targetPrimary,
        long targetPosition,
        List<Long> copiedPositions) {
    /** Before the first query. */
    public static final MigrationObservation NONE =
            new MigrationObservation(Long.MIN_VALUE, null, Long.MIN_VALUE, null, Long.MIN_VALUE, List.of());

    boolean hasBothPrimaries() {
        return sourcePrimary != null && targetPrimary != null;
    }

    /** The copied position that every ready member of the new group has reached, or Long.MIN_VALUE. */
    long copiedByAll() {
        return targetPrimary == null
                ? Long.MIN_VALUE
                : copiedPositions.stream().mapToLong(Long::longValue).min().orElse(Long.MIN_VALUE);
    }

    /** Whether a query sent after this time showed that every ready member has the copy up to this position. */
    boolean hasCopiedUpTo(long position, long sinceNanos) {
        return queriedAtNanos > sinceNanos
                && targetPrimary != null
                && targetPosition != Long.MIN_VALUE
                && copiedByAll() >= position;
    }
}
