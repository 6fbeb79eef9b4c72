package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;
import static beaconladder.routing.state.TrafficStatistics.NEVER;
import static beaconladder.routing.state.TrafficStatistics.UNSET;

import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Consistency;
import beaconladder.routing.state.TrafficStatistics;
import beaconladder.routing.state.WakeupQueue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Schedules probes of hosts on behalf of queued requests. */
record HealthCheckScheduler(
        TrafficStatistics traffic,
        ClusterClock clock,
        OutlierDetector outliers,
        ReadPositions readPositions,
        ReplicaSelector selector,
        PriorityWeights weights,
        WakeupQueue wakeups,
        SplittableRandom random) {
    /** The share of a request's weight that the probes pending at one time may cost. */
    private static final double PENDING_PROBES_SHARE = 0.1;

    private static final int MAX_PENDING_PROBES = 4;
    /** So many probes of a request are sent without a pause. */
    private static final int FIRST_PROBES = 2;
    /** Fewer reported lags than this are no basis for a median. */
    private static final int MIN_LAG_SAMPLES = 4;
    /** Replicas whose lags are in the same step of this size count as equally fresh. */
    private static final long LAG_STEP_NANOS = 1_000 * MILLISECOND;
    /**
     * The shortest time between two probes of a host, doubled with each failure. Load reports are refreshed every 50 to
     * 250 ms, so probing more often brings little.
     */
    private static final long MIN_PROBE_INTERVAL_NANOS = 100 * MILLISECOND;

    private static final int MAX_DOUBLINGS = 5;
    /** The longest interval after failures, and the longest while the host must lag. */
    private static final long MAX_FAILURE_INTERVAL_NANOS = 2_000 * MILLISECOND;

    private static final long MAX_LAG_INTERVAL_NANOS = 1_000 * MILLISECOND;

    /**
     * Returns the hosts to probe now, each on behalf of a queued request whose weight covers the price. For a request
     * that needs the primary this is the presumed primary, or, if that is lost, the most caught-up members; for a read
     * it is the replicas that may be fresh enough. Without such a request nothing is probed: hundreds of routers that
     * probe at every start and every return of a host would cause a flood of probes.
     */
    List<Host> takeProbes(long now) {
        List<Host> toProbe = new ArrayList<>();
        wakeups.nextProbeNanos = NEVER;
        for (Group group : wakeups.groupsWithQueued()) {
            int pendingAnswers = -1;
            for (Request request : group.queued) {
                if (request.probeNeed == Request.ProbeNeed.NONE || !selector.mayProbe(request)) {
                    continue;
                }
                long earliestNanos = earliestProbeNanos(request);
                if (now < earliestNanos) {
                    wakeups.nextProbeNanos = Math.min(wakeups.nextProbeNanos, earliestNanos);
                    continue;
                }
                // As many at once as a tenth of its weight covers, since one or two answers are enough.
                double affordable = PENDING_PROBES_SHARE * weights.remainingWeight(request, now);
                int maxPending = (int) Math.max(
                        1, Math.min(MAX_PENDING_PROBES, affordable / traffic.maxWeight / weights.probePrice()));
                pendingAnswers = pendingAnswers < 0 ? countPendingAnswers(group, now) : pendingAnswers;
                for (Host host : candidates(request, now)) {
                    if (pendingAnswers >= maxPending) {
                        break;
                    }
                    if (tryProbe(host, probeIntervalNanos(host, request, now), toProbe, now)) {
                        pendingAnswers++;
                        request.probesSent++;
                        request.lastProbeNanos = now;
                    }
                }
            }
        }
        return toProbe;
    }

    /** Returns the number of probes in the group that are still expected to be answered. */
    private int countPendingAnswers(Group group, long now) {
        int pending = 0;
        for (Host host : group.members) {
            pending += host.probeInFlight && !outliers.isProbeOverdue(host, now) ? 1 : 0;
        }
        return pending;
    }

    /** Returns when a host may be probed for this request again: twice at once, then at intervals over an SLA time. */
    private long earliestProbeNanos(Request request) {
        if (request.probesSent >= FIRST_PROBES) {
            return request.lastProbeNanos + request.requestClass.slaNanos() / weights.probeBudget(request);
        }
        // A probe brings nothing before the report of a healthy replica can include the session's write.
        return request.requestClass.consistency() != Consistency.SESSION
                        || request.sessionTarget == UNSET
                        || traffic.reportedLags.size() < MIN_LAG_SAMPLES
                ? request.arrivedNanos
                : clock.routerTimeOf(request.sessionTarget)
                        + Math.min(OutlierDetector.REPORT_MAX_AGE_NANOS, traffic.reportedLags.quantile(0.5));
    }

    /** Returns the hosts whose report could help this request, in the order in which to probe them. */
    private List<Host> candidates(Request request, long now) {
        List<Host> candidates = new ArrayList<>();
        Group group = request.group;
        boolean toPrimary = request.probeNeed == Request.ProbeNeed.PRIMARY;
        if (toPrimary
                && group.primary != null
                && group.primary.state == Host.State.READY
                && !group.primary.probeInFlight
                && !outliers.isSuspect(group.primary, now)) {
            return List.of(group.primary);
        }
        for (Host host : group.members) {
            if (host.state == Host.State.READY
                    && !host.probeInFlight
                    && (toPrimary || host != group.primary)
                    // A probe of a host with a recent report brings nothing new, unless its position was too low.
                    && (host.lastReportNanos
                                    < Math.max(
                                            now - OutlierDetector.REPORT_MAX_AGE_NANOS,
                                            toPrimary ? group.primaryLostNanos : UNSET)
                            || !toPrimary && host.position < readPositions.requiredPosition(request, now))) {
                candidates.add(host);
            }
        }
        // Shuffled, so that the routers don't all probe the same host; then sorted by lag in steps of one second, as
        // replicas that lag little are equally suitable.
        for (int i = candidates.size() - 1; i > 0; i--) {
            java.util.Collections.swap(candidates, i, random.nextInt(i + 1));
        }
        candidates.sort(Comparator.comparingLong(h -> h.lagNanos / LAG_STEP_NANOS));
        return candidates;
    }

    /** Returns the shortest time between two probes of this host: longer after failures, and while it must lag. */
    private long probeIntervalNanos(Host host, Request request, long now) {
        long failures =
                host.responses.countSince(host.lastResponseNanos) - host.responses.sumSince(host.lastResponseNanos);
        long requiredPosition = readPositions.requiredPosition(request, now);
        long missingNanos =
                request.probeNeed == Request.ProbeNeed.PRIMARY || host.position == UNSET || requiredPosition == UNSET
                        ? 0
                        : (requiredPosition - host.position) / 2;
        return Math.max(
                Math.min(MAX_FAILURE_INTERVAL_NANOS, MIN_PROBE_INTERVAL_NANOS << Math.min(MAX_DOUBLINGS, failures)),
                Math.min(MAX_LAG_INTERVAL_NANOS, missingNanos));
    }

    /** Adds the host to those to probe and returns true, unless its last probe was less than this interval ago. */
    private boolean tryProbe(Host host, long intervalNanos, List<Host> toProbe, long now) {
        if (host.lastProbeNanos != UNSET && now < host.lastProbeNanos + intervalNanos) {
            wakeups.nextProbeNanos = Math.min(wakeups.nextProbeNanos, host.lastProbeNanos + intervalNanos);
            return false;
        }
        host.probeInFlight = true;
        host.lastProbeNanos = now;
        toProbe.add(host);
        return true;
    }
}
