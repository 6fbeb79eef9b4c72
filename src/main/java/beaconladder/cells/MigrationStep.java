package beaconladder.cells;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A state change of the coordinator: a record that is stored before the change is applied, and applied again after a
 * crash. The JSON names of the components and kinds are stored and must not change. Times and positions are in
 * nanoseconds.
 *
 * @param kind the kind of change
 * @param tenant the tenant; for ROUTER the router's name; for LEASE and VERSION empty
 * @param fromCell the cell that serves the tenant when the migration starts
 * @param toCell the cell to which the tenant migrates; for PLACED, the same as fromCell
 * @param atNanos when the step was decided; for LEASE the length of the leases, for VERSION the placement's version
 * @param fences for SEALED and SWITCHED: by slot, the position in the old cell's log up to which writes must be copied
 * @param floors for SWITCHED: by slot, the new floor, see {@link TenantPlacement#floors}; for PLACED the current floors
 * @param sources for COPYING: by slot, the primary that is copied from
 * @param detail for PROPOSED the requester, for UNDONE the reason, for ROUTER its incarnation; otherwise null
 */
public record MigrationStep(
        Kind kind,
        String tenant,
        @JsonProperty("from") String fromCell,
        @JsonProperty("to") String toCell,
        @JsonProperty("at") long atNanos,
        List<Long> fences,
        List<Long> floors,
        List<String> sources,
        @JsonProperty("why") String detail) {

    /** The kinds of step. Those from PROPOSED to SWITCHED also name the states of a migration, in their order. */
    public enum Kind {
        /** A tenant is placed in a cell, without a migration. */
        @JsonProperty("SEATED")
        PLACED,
        /** A migration has been requested; nothing is copied yet. */
        PROPOSED,
        /** The new cell copies the tenant's log. */
        COPYING,
        /** The old cell serves no new writes of the tenant. */
        FENCED,
        /** The old cell serves no new reads either. */
        SEALED,
        /** The new cell serves the tenant; some routers may not have applied this yet. */
        SWITCHED,
        /** The migration is complete. */
        DONE,
        /** The migration has ended without effect; the old cell serves the tenant. */
        UNDONE,
        /** Leases of this length may have been granted. */
        LEASE,
        /** Sets the version of the placement, in a snapshot. */
        VERSION,
        /** A new incarnation of a router is registered. */
        ROUTER
    }

    static MigrationStep of(Kind kind, String tenant, String fromCell, String toCell, long atNanos, String detail) {
        return new MigrationStep(kind, tenant, fromCell, toCell, atNanos, List.of(), List.of(), List.of(), detail);
    }

    static MigrationStep lease(long lengthNanos) {
        return of(Kind.LEASE, "", null, null, lengthNanos, null);
    }

    static MigrationStep version(long version) {
        return of(Kind.VERSION, "", null, null, version, null);
    }

    static MigrationStep router(String router, String incarnation, long nowNanos) {
        return of(Kind.ROUTER, router, null, null, nowNanos, incarnation);
    }

    static MigrationStep placed(String tenant, String cell, List<Long> floors, long nowNanos) {
        return of(Kind.PLACED, tenant, cell, cell, nowNanos, null).withFloors(floors);
    }

    MigrationStep withFences(List<Long> newFences) {
        return new MigrationStep(kind, tenant, fromCell, toCell, atNanos, newFences, floors, sources, detail);
    }

    MigrationStep withFloors(List<Long> newFloors) {
        return new MigrationStep(kind, tenant, fromCell, toCell, atNanos, fences, newFloors, sources, detail);
    }

    MigrationStep withSources(List<String> newSources) {
        return new MigrationStep(kind, tenant, fromCell, toCell, atNanos, fences, floors, newSources, detail);
    }
}
