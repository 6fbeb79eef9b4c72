package beaconladder.cells;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The leases of all routers, and what each router reported last. A router acts on a placement until its lease ends; so
 * a version of the placement is in force once every router has applied it or can't act on an older one any more. Times
 * are in nanoseconds on the clock that all machines read.
 */
final class RouterLeases {
    private static final class RouterState {
        private String incarnation;
        private long appliedVersion = -1;
        /** It may act on an older version until then. */
        private long leaseEndNanos;
        /** A host may run what an earlier incarnation sent until then. */
        private long earlierWritesEndNanos;

        private Map<String, WriteActivity> activity = Map.of();
        private long lastReportNanos = Long.MIN_VALUE;

        boolean mayActOnOlderVersion(long version, long nowNanos) {
            return appliedVersion < version && nowNanos <= leaseEndNanos + CellAdmission.MAX_CLOCK_SKEW_NANOS;
        }
    }

    private final long leaseNanos;
    private final long maxInFlightNanos;
    private final Map<String, RouterState> routers = new LinkedHashMap<>();
    /** The longest lease that was ever granted: no lease granted before now ends later than this from now on. */
    private long longestLeaseNanos;

    /**
     * No routers yet.
     *
     * @param leaseNanos the length of the leases to grant
     * @param maxInFlightNanos the most that a request may be in flight
     */
    RouterLeases(long leaseNanos, long maxInFlightNanos) {
        this.leaseNanos = leaseNanos;
        this.maxInFlightNanos = maxInFlightNanos;
    }

    /** The step to record before the first lease of this length is granted, or null. */
    MigrationStep nextStep() {
        return longestLeaseNanos < leaseNanos ? MigrationStep.lease(leaseNanos) : null;
    }

    void applyLease(MigrationStep step) {
        longestLeaseNanos = Math.max(longestLeaseNanos, step.atNanos());
    }

    /** Right after recovery: a router may act on any lease that was granted before. */
    void recoveryCompleted(long nowNanos) {
        for (RouterState router : routers.values()) {
            router.leaseEndNanos = nowNanos + longestLeaseNanos;
        }
    }

    /** The step to record before this run of a router is granted a lease, or null if it is registered. */
    MigrationStep registration(String router, String incarnation, long nowNanos) {
        RouterState state = routers.get(router);
        return state != null && incarnation.equals(state.incarnation)
                ? null
                : MigrationStep.router(router, incarnation, nowNanos);
    }

    /** Registers a run of a router; what an earlier one sent may run for as long as its clients wait. */
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
     * Keeps the report of a registered router and extends its lease.
     *
     * @return the end of the lease
     */
    long grant(String router, long appliedVersion, List<WriteActivity> activity, long nowNanos) {
        RouterState state = routers.get(router);
        state.appliedVersion = Math.max(state.appliedVersion, appliedVersion);
        Map<String, WriteActivity> byTenant = new LinkedHashMap<>();
        activity.forEach(entry -> byTenant.put(entry.tenant(), entry));
        state.activity = byTenant;
        state.lastReportNanos = nowNanos;
        state.leaseEndNanos = Math.max(state.leaseEndNanos, nowNanos + leaseNanos);
        return nowNanos + leaseNanos;
    }

    /** Whether no router acts on an older version than this. */
    boolean isInForce(long version, long nowNanos) {
        return routers.values().stream().noneMatch(router -> router.mayActOnOlderVersion(version, nowNanos));
    }

    /** The routers that may act on an older version than this. */
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
     * Whether no write of the tenant is in flight at any router or may still run at a host.
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

    /** The newest commit of the tenant in this slot that any router reported; Long.MIN_VALUE for none. */
    long newestCommit(String tenant, int slot) {
        long newest = Long.MIN_VALUE;
        for (RouterState router : routers.values()) {
            WriteActivity activity = router.activity.get(tenant);
            if (activity != null && slot < activity.newestCommits().size()) {
                newest = Math.max(newest, activity.newestCommits().get(slot));
            }
        }
        return newest;
    }

    /** By router the time since its last report, or -1 for none since the coordinator started. */
    Map<String, Long> nanosSinceLastReport(long nowNanos) {
        Map<String, Long> nanosByRouter = new LinkedHashMap<>();
        routers.forEach((name, router) -> nanosByRouter.put(
                name, router.lastReportNanos == Long.MIN_VALUE ? -1 : nowNanos - router.lastReportNanos));
        return nanosByRouter;
    }

    /** The steps that lead from nothing to the registered routers. */
    List<MigrationStep> snapshot(long nowNanos) {
        List<MigrationStep> steps = new ArrayList<>();
        steps.add(MigrationStep.lease(longestLeaseNanos));
        routers.forEach((name, router) -> steps.add(MigrationStep.router(name, router.incarnation, nowNanos)));
        return steps;
    }
}
