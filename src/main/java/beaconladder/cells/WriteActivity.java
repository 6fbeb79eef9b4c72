package beaconladder.cells;

import java.util.List;

/**
 * What a router reports to the coordinator about a tenant that is being migrated.
 *
 * @param inFlightWrites writes of the tenant that are in flight at this router or may still run at a host
 * @param newestCommits for each slot the newest log position of a commit, in nanoseconds; empty if there was none
 */
public record WriteActivity(String tenant, int inFlightWrites, List<Long> newestCommits) {}
