package beaconladder.simulation;

import beaconladder.routing.api.Router.HostReport;

/**
 * A request of a client, as the simulator states it.
 *
 * @param id of the request
 * @param requestClass the index of its class
 * @param sinceWriteMillis the age of the session's last write; 0 for none
 * @param budgetMicros the time until its deadline
 * @param isRetry whether the client repeats an earlier request
 */
record RequestEvent(
        long id,
        int requestClass,
        long session,
        float sinceWriteMillis,
        int tenant,
        int group,
        long budgetMicros,
        boolean isRetry) {
    /** The position of the session's last write; its age is rounded down, that is, toward the newer position. */
    long writtenPosition(long nowNanos) {
        return sinceWriteMillis > 0
                ? nowNanos - Math.max(1, (long) (Math.nextDown(sinceWriteMillis) * 1e6))
                : HostReport.NO_POSITION;
    }
}
