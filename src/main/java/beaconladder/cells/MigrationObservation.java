package beaconladder.cells;

import java.util.List;

/**
 * What the keeper saw of one slot of a move when it asked the hosts. Positions are in nanoseconds on the clock that all
 * machines read; Long.MIN_VALUE stands for none.
 *
 * @param askedAt when the first of these questions left
 * @param source the one member of the old group that says it is primary, or null
 * @param position of the source
 * @param target the one member of the new group that says it is primary, or null
 * @param landed the target's own position
 * @param copied how far the tenant's copied log has come at each ready member of the new group
 */
public record MigrationObservation(
        long askedAt, String source, long position, String target, long landed, List<Long> copied) {
    public static final MigrationObservation NOTHING =
            new MigrationObservation(Long.MIN_VALUE, null, Long.MIN_VALUE, null, Long.MIN_VALUE, List.of());

    /** The copied position that every ready member of the new group has reached, or Long.MIN_VALUE. */
    long copiedByAll() {
        return target == null
                ? Long.MIN_VALUE
                : copied.stream().mapToLong(Long::longValue).min().orElse(Long.MIN_VALUE);
    }
}
