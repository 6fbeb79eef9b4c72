package beaconladder.cells;

import java.util.List;

/**
 * A step of a tenant's life in the cells: written down before it is taken, and taken again from the records after a
 * crash. Times and positions are in nanoseconds.
 *
 * @param kind what happens
 * @param tenant whose; for ROUTER the router's name; else empty
 * @param from the cell it lives in
 * @param to the cell it moves to
 * @param at when; for LEASE how long leases are, for VERSION the placement's version
 * @param fences for SEALED: by slot the position up to which the old cell's log counts
 * @param floors for SWITCHED: by slot the position from which on a member of the new cell has all of it; for SEATED as
 *     it stood
 * @param sources for COPYING: by slot the primary that is copied from
 * @param why for PROPOSED who asked, for UNDONE the reason, for ROUTER which run of it this is
 */
public record MigrationStep(
        Kind kind,
        String tenant,
        String from,
        String to,
        long at,
        List<Long> fences,
        List<Long> floors,
        List<String> sources,
        String why) {

    /** The kinds, in the order of a move. */
    public enum Kind {
        SEATED,
        PROPOSED,
        COPYING,
        FENCED,
        SEALED,
        SWITCHED,
        DONE,
        UNDONE,
        LEASE,
        VERSION,
        ROUTER
    }

    static MigrationStep of(Kind kind, String tenant, String from, String to, long at, String why) {
        return new MigrationStep(kind, tenant, from, to, at, List.of(), List.of(), List.of(), why);
    }
}
