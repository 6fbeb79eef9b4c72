package beaconladder.cells;

/**
 * One slot of a migration whose hosts the coordinator has to query.
 *
 * @param slot the index of both groups in their cells
 * @param sourceGroup the group of the old cell
 * @param targetGroup the group of the new cell
 * @param copies whether the new group's primary is to copy from the old one; false once the copy is known to be
 *     complete, as it might otherwise start to copy from another old primary
 */
public record SlotQuery(String tenant, int slot, int sourceGroup, int targetGroup, boolean copies) {}
