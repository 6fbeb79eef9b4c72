package beaconladder.cells;

import java.util.List;

/**
 * A router's report to the coordinator on the writes of a tenant under migration.
 *
 * @param tenant the tenant under migration
 * @param inFlightWrites the number of its writes that are in flight at this router or may still run at a host
 * @param newestCommits for each slot, the newest log position of a commit, in nanoseconds; empty if there was none
 */
public record WriteActivity(String tenant, int inFlightWrites, List<Long> newestCommits) {}
