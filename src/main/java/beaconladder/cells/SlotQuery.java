package beaconladder.cells;

import java.util.ArrayList;
import java.util.List;

/**
 * One slot of a migration whose hosts the coordinator must query.
 *
 * @param tenant the tenant that migrates
 * @param slot the index of both groups in their cells
 * @param sourceGroup the group of the old cell
 * @param targetGroup the group of the new cell
 * @param copying whether the new group's primary must copy from the old group's; false once the copy is known to be
 *     complete, because the new primary might otherwise start to copy from another old primary
 */
public record SlotQuery(String tenant, int slot, int sourceGroup, int targetGroup, boolean copying) {
    /** Returns one query for each slot of two cells, whose groups are in the order of their slots. */
    static List<SlotQuery> forSlots(
            String tenant, List<Integer> sourceGroups, List<Integer> targetGroups, boolean copying) {
        List<SlotQuery> queries = new ArrayList<>();
        for (int slot = 0; slot < sourceGroups.size(); slot++) {
            queries.add(new SlotQuery(tenant, slot, sourceGroups.get(slot), targetGroups.get(slot), copying));
        }
        return queries;
    }
}
