package beaconladder.cells;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The leases of all routers and their reports. A router may act on a placement until its lease ends, so a version of
 * the placement is in force once every router has applied it or may no longer act on an older one. Each incarnation of
 * a router has its own lease and its own reports. Times are in nanoseconds of Unix time.
 */
final class RouterLeases {
    private final long leaseNanos;
    private final long maxInFlightNanos;
    /** By the name of the router and by the incarnation, in the order of their registration. */
    private final Map<String, Map<String, RouterIncarnation>> incarnations = new LinkedHashMap<>();
    /** The longest lease that may ever have been granted; no earlier lease ends later than this from now. */
    private long longestLeaseNanos;

    /**
     * Creates the leases without any router.
     *
     * @param leaseNanos the length of the leases to grant
     * @param maxInFlightNanos upper bound on the time that a request is in flight
     */
    RouterLeases(long leaseNanos, long maxInFlightNanos) {
        this.leaseNanos = leaseNanos;
        this.maxInFlightNanos = maxInFlightNanos;
    }

    /** Returns the step to record before the first lease of this length is granted, or null if it is recorded. */
    MigrationStep nextStep() {
        return longestLeaseNanos < leaseNanos ? MigrationStep.lease(leaseNanos) : null;
    }

    void applyLease(MigrationStep step) {
        longestLeaseNanos = Math.max(longestLeaseNanos, step.atNanos());
    }

    /** Must be called right after recovery: each router may still hold a lease that was granted before. */
    void recoveryCompleted(long nowNanos) {
        all().forEach(each -> each.grantedUnknownVersion(nowNanos + longestLeaseNanos));
    }

    /** Returns the step to record before this incarnation is granted a lease, or null if it is registered. */
    MigrationStep registration(String router, String incarnation, long nowNanos) {
        return find(router, incarnation) == null ? MigrationStep.router(router, incarnation, nowNanos) : null;
    }

    private RouterIncarnation find(String router, String incarnation) {
        return incarnations.getOrDefault(router, Map.of()).get(incarnation);
    }

    private Stream<RouterIncarnation> all() {
        return incarnations.values().stream().flatMap(each -> each.values().stream());
    }

    /** Registers an incarnation of a router; an earlier one keeps its leases. */
    void applyRegistration(MigrationStep step) {
        incarnations
                .computeIfAbsent(step.tenant(), router -> new LinkedHashMap<>())
                .computeIfAbsent(step.detail(), incarnation -> new RouterIncarnation(step.tenant(), incarnation));
    }

    /**
     * Records the report of a registered incarnation, and removes the others of its router that have ended.
     *
     * @return whether the report counts; one that is older than another that has arrived does not
     */
    boolean record(RouterReport report, long nowNanos) {
        Map<String, RouterIncarnation> sameRouter = incarnations.get(report.router());
        RouterIncarnation reporter = sameRouter.get(report.incarnation());
        sameRouter.values().removeIf(each -> each != reporter && each.isEnded(maxInFlightNanos, nowNanos));
        reporter.removeEndedLeases(maxInFlightNanos, nowNanos);
        return reporter.record(report, nowNanos);
    }

    /**
     * Extends the lease of a registered incarnation on this version of the placement.
     *
     * @return the end of the lease
     */
    long grant(String router, String incarnation, long version, long nowNanos) {
        find(router, incarnation).granted(version, nowNanos + leaseNanos);
        return nowNanos + leaseNanos;
    }

    /** Returns whether no router may act on an older version than this. */
    boolean isInForce(long version, long nowNanos) {
        return all().noneMatch(each -> each.mayActOnOlderVersion(version, nowNanos));
    }

    /** Returns the routers that may act on an older version than this. */
    List<String> routersOnOlderVersion(long version, long nowNanos) {
        return all().filter(each -> each.mayActOnOlderVersion(version, nowNanos))
                .map(RouterIncarnation::router)
                .distinct()
                .toList();
    }

    /**
     * Returns whether no write of the tenant is in flight at any router or may still run at a host.
     *
     * @param fenceVersion the version of the placement that stops the tenant's writes
     */
    boolean areWritesDrained(String tenant, long fenceVersion, long nowNanos) {
        return all().allMatch(each -> each.areWritesDrained(tenant, fenceVersion, maxInFlightNanos, nowNanos));
    }

    /**
     * Returns on which grounds {@link #areWritesDrained} is true for a tenant.
     *
     * @param fenceVersion the version of the placement that stops the tenant's writes
     */
    DrainEvidence drainEvidence(String tenant, long fenceVersion) {
        List<RouterIncarnation> reporters = all().filter(each -> each.hasReportedNoWrites(tenant, fenceVersion))
                .toList();
        long oldestVersion = reporters.stream()
                .mapToLong(RouterIncarnation::appliedVersion)
                .min()
                .orElse(Long.MAX_VALUE);
        return new DrainEvidence(
                tenant, fenceVersion, reporters.size(), oldestVersion, (int) all().count() - reporters.size());
    }

    /** Returns the newest commit of the tenant in this slot that any router has reported; Long.MIN_VALUE for none. */
    long newestCommit(String tenant, int slot) {
        return all().mapToLong(each -> each.newestCommit(tenant, slot)).max().orElse(Long.MIN_VALUE);
    }

    /** Returns by router the nanoseconds since its last report; -1 for none since the coordinator started. */
    Map<String, Long> nanosSinceLastReport(long nowNanos) {
        Map<String, Long> lastReports = new LinkedHashMap<>();
        all().forEach(each -> lastReports.merge(each.router(), each.lastReportNanos(), Math::max));
        lastReports.replaceAll((router, last) -> last == Long.MIN_VALUE ? -1 : nowNanos - last);
        return lastReports;
    }

    /** Returns the steps that register the current routers again, for a snapshot. */
    List<MigrationStep> snapshot(long nowNanos) {
        List<MigrationStep> steps = new ArrayList<>();
        steps.add(MigrationStep.lease(longestLeaseNanos));
        all().forEach(each -> steps.add(MigrationStep.router(each.router(), each.incarnation(), nowNanos)));
        return steps;
    }
}
