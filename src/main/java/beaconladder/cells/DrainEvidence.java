package beaconladder.cells;

/**
 * The grounds on which the coordinator takes a tenant's writes in the old cell for drained.
 *
 * @param tenant the tenant under migration
 * @param fenceVersion the version of the placement that stops the tenant's writes
 * @param reports the number of routers that reported no write in flight
 * @param oldestReportVersion the oldest version of the placement under which one of these reports was made;
 *     Long.MAX_VALUE if there is none
 * @param expiredLeases the number of routers that are silent and whose lease and last writes have expired
 */
public record DrainEvidence(
        String tenant, long fenceVersion, int reports, long oldestReportVersion, int expiredLeases) {
    /** Returns the evidence as the text of a log line. */
    @Override
    public String toString() {
        return tenant + " has no write in flight: " + reports + " reports"
                + (reports == 0 ? "" : ", the oldest under version " + oldestReportVersion) + " (fence: version "
                + fenceVersion + "), " + expiredLeases + " expired leases";
    }
}
