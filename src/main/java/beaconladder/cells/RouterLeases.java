package beaconladder.cells;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The leases of all routers and their last reports. A router may act on a placement until its lease ends, so a version
 * of the placement is in force once every router has applied it or may no longer act on an older one. Times are in
 * nanoseconds of Unix time.
 */
final class RouterLeases {
    private static final class RouterState {
        private String incarnation;
        /** The newest version of the placement that a report was made under; -1 before the first report. */
        private long appliedVersion = -1;
        /** Until when the router may act on an older version. */
        private long leaseEndNanos;
        /** Until when a host may still run writes that an earlier incarnation sent. */
        private long earlierWritesEndNanos;

        /** By tenant, the write activity of the last report under the applied version. */
        private Map<String, WriteActivity> activity = Map.of();

        private long lastReportNanos = Long.MIN_VALUE;

        boolean mayActOnOlderVersion(long version, long nowNanos) {
            return appliedVersion < version && nowNanos <= leaseEndNanos + CellAdmission.MAX_CLOCK_SKEW_NANOS;
        }
    }

    private final long leaseNanos;
    private final long maxInFlightNanos;
    private final Map<String, RouterState> routers = new LinkedHashMap<>();
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
        for (RouterState router : routers.values()) {
            router.leaseEndNanos = nowNanos + longestLeaseNanos;
        }
    }

    /** Returns the step to record before this incarnation is granted a lease, or null if it is registered. */
    MigrationStep registration(String router, String incarnation, long nowNanos) {
        RouterState state = routers.get(router);
        return state != null && incarnation.equals(state.incarnation)
                ? null
                : MigrationStep.router(router, incarnation, nowNanos);
    }

    /** Registers an incarnation of a router; writes of an earlier one may still run until their clients give up. */
    void applyRegistration(MigrationStep step) {
        RouterState state = routers.computeIfAbsent(step.tenant(), name -> new RouterState());
        if (state.incarnation != null) {
            state.earlierWritesEndNanos = Math.max(state.earlierWritesEndNanos, step.atNanos() + maxInFlightNanos);
        }
        state.incarnation = step.detail();
        state.appliedVersion = -1;
        state.activity = Map.of();
    }

    /**
     * Records the report of a registered router, unless one under a newer version has arrived before: a router never
     * returns to an older version, so that report was made later.
     *
     * @return whether the report counts
     */
    boolean record(RouterReport report, long nowNanos) {
        RouterState state = routers.get(report.router());
        if (report.version() < state.appliedVersion) {
            return false;
        }
        // Of two reports under one version, either may have been made first: commits add up. While a tenant is fenced,
        // no write starts, so a report of none in flight stays true whichever comes last.
        Map<String, WriteActivity> previous = report.version() == state.appliedVersion ? state.activity : Map.of();
        Map<String, WriteActivity> next = new HashMap<>();
        for (WriteActivity entry : report.activity()) {
            next.put(entry.tenant(), entry.withCommitsOf(previous.get(entry.tenant())));
        }
        state.appliedVersion = report.version();
        state.activity = next;
        state.lastReportNanos = nowNanos;
        return true;
    }

    /**
     * Extends the lease of a registered router.
     *
     * @return the end of the lease
     */
    long grant(String router, long nowNanos) {
        RouterState state = routers.get(router);
        state.leaseEndNanos = Math.max(state.leaseEndNanos, nowNanos + leaseNanos);
        return nowNanos + leaseNanos;
    }

    /** Returns whether no router may act on an older version than this. */
    boolean isInForce(long version, long nowNanos) {
        return routers.values().stream().noneMatch(router -> router.mayActOnOlderVersion(version, nowNanos));
    }

    /** Returns the routers that may act on an older version than this. */
    List<String> routersOnOlderVersion(long version, long nowNanos) {
        List<String> names = new ArrayList<>();
        routers.forEach((name, router) -> {
            if (router.mayActOnOlderVersion(version, nowNanos)) {
                names.add(name);
            }
        });
        return names;
    }

    /**
     * Returns whether no write of the tenant is in flight at any router or may still run at a host.
     *
     * @param fenceVersion the version of the placement that stops the tenant's writes
     */
    boolean areWritesDrained(String tenant, long fenceVersion, long nowNanos) {
        return routers.values().stream().allMatch(router -> {
            if (router.appliedVersion < fenceVersion) {
                return nowNanos > router.leaseEndNanos + maxInFlightNanos + CellAdmission.MAX_CLOCK_SKEW_NANOS;
            }
            WriteActivity activity = router.activity.get(tenant);
            return activity != null && activity.inFlightWrites() == 0 && nowNanos > router.earlierWritesEndNanos;
        });
    }

    /**
     * Returns on which grounds {@link #areWritesDrained} is true for a tenant.
     *
     * @param fenceVersion the version of the placement that stops the tenant's writes
     */
    DrainEvidence drainEvidence(String tenant, long fenceVersion) {
        int reports = 0;
        int expiredLeases = 0;
        long oldestVersion = Long.MAX_VALUE;
        for (RouterState router : routers.values()) {
            if (router.appliedVersion < fenceVersion) {
                expiredLeases++;
            } else {
                reports++;
                oldestVersion = Math.min(oldestVersion, router.appliedVersion);
            }
        }
        return new DrainEvidence(tenant, fenceVersion, reports, oldestVersion, expiredLeases);
    }

    /** Returns the newest commit of the tenant in this slot that any router has reported; Long.MIN_VALUE for none. */
    long newestCommit(String tenant, int slot) {
        long newest = Long.MIN_VALUE;
        for (RouterState router : routers.values()) {
            WriteActivity activity = router.activity.get(tenant);
            if (activity != null) {
                newest = Math.max(newest, activity.newestCommit(slot));
            }
        }
        return newest;
    }

    /** Returns by router the nanoseconds since its last report; -1 for none since the coordinator started. */
    Map<String, Long> nanosSinceLastReport(long nowNanos) {
        Map<String, Long> nanosByRouter = new LinkedHashMap<>();
        routers.forEach((name, router) -> nanosByRouter.put(
                name, router.lastReportNanos == Long.MIN_VALUE ? -1 : nowNanos - router.lastReportNanos));
        return nanosByRouter;
    }

    /** Returns the steps that register the current routers again, for a snapshot. */
    List<MigrationStep> snapshot(long nowNanos) {
        List<MigrationStep> steps = new ArrayList<>();
        steps.add(MigrationStep.lease(longestLeaseNanos));
        routers.forEach((name, router) -> steps.add(MigrationStep.router(name, router.incarnation, nowNanos)));
        return steps;
    }
}
