package beaconladder.cells;

import java.util.List;

/**
 * The placement of one tenant in a cell, as decided by the coordinator.
 *
 * @param cell the name of the cell that serves the tenant
 * @param admitsWrites whether new writes are admitted
 * @param admitsReads whether new reads are admitted
 * @param migrating whether a migration is under way, so that routers report the tenant's writes
 * @param floors for each slot, the minimum log position, in nanoseconds, that a member must have applied to have
 *     everything that was copied into this cell; empty for a tenant that was never migrated
 */
public record TenantPlacement(
        String cell, boolean admitsWrites, boolean admitsReads, boolean migrating, List<Long> floors) {
    /** Returns the placement of a tenant in this cell with no migration under way. */
    static TenantPlacement settled(String cell, List<Long> floors) {
        return new TenantPlacement(cell, true, true, false, floors);
    }

    /** Returns the floor of this slot, or Long.MIN_VALUE for none. */
    long floor(int slot) {
        return slot < floors.size() ? floors.get(slot) : Long.MIN_VALUE;
    }
}
