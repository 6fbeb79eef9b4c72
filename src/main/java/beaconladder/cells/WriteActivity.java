package beaconladder.cells;

import java.util.ArrayList;
import java.util.List;

/**
 * A router's report to the coordinator on the writes of a tenant under migration.
 *
 * @param tenant the tenant under migration
 * @param inFlightWrites the number of its writes that are in flight at this router or may still run at a host
 * @param newestCommits for each slot, the newest log position of a commit, in nanoseconds; empty if there was none
 */
public record WriteActivity(String tenant, int inFlightWrites, List<Long> newestCommits) {
    /** Returns this activity with the newer commit of both in each slot; the other one may be null. */
    WriteActivity withCommitsOf(WriteActivity other) {
        if (other == null) {
            return this;
        }
        List<Long> commits = new ArrayList<>(newestCommits);
        for (int slot = 0; slot < other.newestCommits.size(); slot++) {
            long commit = other.newestCommits.get(slot);
            if (slot < commits.size()) {
                commits.set(slot, Math.max(commits.get(slot), commit));
            } else {
                commits.add(commit);
            }
        }
        return new WriteActivity(tenant, inFlightWrites, commits);
    }

    /** Returns the newest commit in this slot; Long.MIN_VALUE for none. */
    long newestCommit(int slot) {
        return slot < newestCommits.size() ? newestCommits.get(slot) : Long.MIN_VALUE;
    }
}
