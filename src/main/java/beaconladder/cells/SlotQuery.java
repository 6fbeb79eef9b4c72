package beaconladder.cells;

import java.util.ArrayList;
import java.util.List;

/**
 * One slot of a migration whose hosts the coordinator has to query.
 *
 * @param slot the index of both groups in their cells
 * @param sourceGroup the group of the old cell
 * @param targetGroup the group of the new cell
 * @param copying whether the new group's primary is to copy from the old one; false once the copy is known to be
 *     complete, as it might otherwise start to copy from another old primary
 */
public record SlotQuery(String tenant, int slot, int sourceGroup, int targetGroup, boolean copying) {
    /** One query for each slot of two cells, whose groups are given in the order of their slots. */
    static List<SlotQuery> forSlots(
            String tenant, List<Integer> sourceGroups, List<Integer> targetGroups, boolean copying) {
        List<SlotQuery> queries = new ArrayList<>();
        for (int slot = 0; slot < sourceGroups.size(); slot++) {
            queries.add(new SlotQuery(tenant, slot, sourceGroups.get(slot), targetGroups.get(slot), copying));
        }
        return queries;
    }
}
