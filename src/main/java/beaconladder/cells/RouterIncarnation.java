package beaconladder.cells;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * One incarnation of a router: the leases that it was granted, and what its reports have shown. An earlier incarnation
 * may still run when the next one starts, so each has its own leases. Times are in nanoseconds of Unix time.
 */
final class RouterIncarnation {
    /** The version of leases that were granted before the coordinator's restart; older than any version. */
    private static final long UNKNOWN_VERSION = Long.MIN_VALUE;

    private final String router;
    private final String incarnation;
    /** The newest version of the placement that a report was made under; -1 before the first report. */
    private long appliedVersion = -1;
    /** By tenant, the write activity of the last report under the applied version. */
    private Map<String, WriteActivity> activity = Map.of();
    /**
     * When the last lease on each version of the placement ends. A lease on one version does not extend those on older
     * ones: a router that receives it acts on the new version from then on.
     */
    private final TreeMap<Long, Long> leaseEndsByVersion = new TreeMap<>();

    private long lastReportNanos = Long.MIN_VALUE;

    RouterIncarnation(String router, String incarnation) {
        this.router = router;
        this.incarnation = incarnation;
    }

    String router() {
        return router;
    }

    String incarnation() {
        return incarnation;
    }

    long appliedVersion() {
        return appliedVersion;
    }

    /** Returns when the last report that counts arrived; Long.MIN_VALUE for none since the coordinator started. */
    long lastReportNanos() {
        return lastReportNanos;
    }

    /** Records a lease on this version of the placement. */
    void granted(long version, long endNanos) {
        leaseEndsByVersion.merge(version, endNanos, Math::max);
    }

    /** Records a lease on an unknown version of the placement. */
    void grantedUnknownVersion(long endNanos) {
        granted(UNKNOWN_VERSION, endNanos);
    }

    /**
     * Records a report, unless one under a newer version has arrived before: a router never returns to an older
     * version, so that report was made later.
     *
     * @return whether the report counts
     */
    boolean record(RouterReport report, long nowNanos) {
        if (report.version() < appliedVersion) {
            return false;
        }
        // Of two reports under one version, either may have been made first: commits add up. While a tenant is fenced,
        // no write starts, so a report of none in flight stays true whichever comes last.
        Map<String, WriteActivity> previous = report.version() == appliedVersion ? activity : Map.of();
        Map<String, WriteActivity> next = new HashMap<>();
        for (WriteActivity entry : report.activity()) {
            next.put(entry.tenant(), entry.withCommitsOf(previous.get(entry.tenant())));
        }
        appliedVersion = report.version();
        activity = next;
        lastReportNanos = nowNanos;
        return true;
    }

    boolean mayActOnOlderVersion(long version, long nowNanos) {
        return appliedVersion < version && nowNanos <= lastLeaseEndBefore(version);
    }

    /** Returns when the last lease on a version older than this one ends on every machine's clock. */
    private long lastLeaseEndBefore(long version) {
        long endNanos = Long.MIN_VALUE;
        for (long leaseEndNanos : leaseEndsByVersion.headMap(version).values()) {
            endNanos = Math.max(endNanos, leaseEndNanos + CellAdmission.MAX_CLOCK_SKEW_NANOS);
        }
        return endNanos;
    }

    /**
     * Returns whether no lease is left and no write that was sent under one may still run.
     *
     * @param maxInFlightNanos upper bound on the time that a request is in flight
     */
    boolean isEnded(long maxInFlightNanos, long nowNanos) {
        return nowNanos - maxInFlightNanos > lastLeaseEndBefore(Long.MAX_VALUE);
    }

    /**
     * Returns whether no write of the tenant is in flight or may still run at a host: the incarnation has reported so,
     * or it is silent and its last writes have expired.
     *
     * @param fenceVersion the version of the placement that stops the tenant's writes
     * @param maxInFlightNanos upper bound on the time that a request is in flight
     */
    boolean areWritesDrained(String tenant, long fenceVersion, long maxInFlightNanos, long nowNanos) {
        return appliedVersion < fenceVersion
                ? nowNanos - maxInFlightNanos > lastLeaseEndBefore(fenceVersion)
                : hasReportedNoWrites(tenant, fenceVersion) || isEnded(maxInFlightNanos, nowNanos);
    }

    /**
     * Returns whether a report under this version or a newer one has shown that no write of the tenant is in flight.
     */
    boolean hasReportedNoWrites(String tenant, long fenceVersion) {
        WriteActivity entry = activity.get(tenant);
        return appliedVersion >= fenceVersion && entry != null && entry.inFlightWrites() == 0;
    }

    /** Returns the newest commit of the tenant in this slot that was reported; Long.MIN_VALUE for none. */
    long newestCommit(String tenant, int slot) {
        WriteActivity entry = activity.get(tenant);
        return entry == null ? Long.MIN_VALUE : entry.newestCommit(slot);
    }

    /** Removes the leases that have ended and whose writes have expired. */
    void removeEndedLeases(long maxInFlightNanos, long nowNanos) {
        leaseEndsByVersion
                .values()
                .removeIf(endNanos -> nowNanos - maxInFlightNanos > endNanos + CellAdmission.MAX_CLOCK_SKEW_NANOS);
    }
}
