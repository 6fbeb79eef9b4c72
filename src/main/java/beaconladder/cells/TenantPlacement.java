package beaconladder.cells;

import java.util.List;

/**
 * Where a tenant lives by the keeper's word.
 *
 * @param cell the cell that serves it
 * @param writes whether new writes may go
 * @param reads whether new reads may go
 * @param moving whether a move is under way, so that routers tell of its writes
 * @param floors for each slot the position that a member must have reached to have all that was copied into this cell,
 *     in nanoseconds; empty for a tenant that was never moved
 */
public record TenantPlacement(String cell, boolean writes, boolean reads, boolean moving, List<Long> floors) {
    /** The floor of this slot, or Long.MIN_VALUE. */
    long floor(int slot) {
        return slot < floors.size() ? floors.get(slot) : Long.MIN_VALUE;
    }
}
