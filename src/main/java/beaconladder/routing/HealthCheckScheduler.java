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
    /**
     * Members to ask, each for the sake of a queued request that pays for it: for one that needs the primary the member
     * taken for it, or, where that is lost, the member most caught up; for a read the members that may be fresh enough.
     * A router asks nobody without such a request: hundreds of them asking at each start and each return would be a
     * flood of its own.
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
                // As many at once as a tenth of its value pays for, since one or two that answer are enough.
                double affordable = 0.1 * weights.remainingWeight(request, now);
                int maxPending = (int) Math.max(1, Math.min(4, affordable / traffic.maxWeight / weights.probePrice()));
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

    private int countPendingAnswers(Group group, long now) {
        int pending = 0;
        for (Host host : group.members) {
            pending += host.probeInFlight && !outliers.isProbeOverdue(host, now) ? 1 : 0;
        }
        return pending;
    }

    /** When this request may ask again: its first two probes at once, the rest an SLA time for all. */
    private long earliestProbeNanos(Request request) {
        if (request.probesSent >= 2) {
            return request.lastProbeNanos + request.requestClass.slaNanos() / weights.probeBudget(request);
        }
        // Before a healthy replica's report can show the session's write there is nothing to learn.
        return request.requestClass.consistency() != Consistency.SESSION
                        || request.sessionTarget == UNSET
                        || traffic.reportedLags.size() < 4
                ? request.arrivedNanos
                : clock.routerTimeOf(request.sessionTarget)
                        + Math.min(OutlierDetector.REPORT_MAX_AGE, traffic.reportedLags.quantile(0.5));
    }

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
                    // A host that has just reported has nothing new to report, unless its position was too low.
                    && (host.lastReportNanos
                                    < Math.max(
                                            now - OutlierDetector.REPORT_MAX_AGE,
                                            toPrimary ? group.primaryLostNanos : UNSET)
                            || !toPrimary && host.position < readPositions.requiredPosition(request, now))) {
                candidates.add(host);
            }
        }
        // Shuffled, so that routers don't all ask the same one; then those most caught up in steps of a second,
        // as members that lag little are as good as each other.
        for (int i = candidates.size() - 1; i > 0; i--) {
            java.util.Collections.swap(candidates, i, random.nextInt(i + 1));
        }
        candidates.sort(Comparator.comparingLong(h -> h.lagNanos / (1_000 * MILLISECOND)));
        return candidates;
    }

    /** How long a member is left alone after a probe: longer after failures, and while it must be behind. */
    private long probeIntervalNanos(Host host, Request request, long now) {
        long failures =
                host.responses.countSince(host.lastResponseNanos) - host.responses.sumSince(host.lastResponseNanos);
        long requiredPosition = readPositions.requiredPosition(request, now);
        long missingNanos =
                request.probeNeed == Request.ProbeNeed.PRIMARY || host.position == UNSET || requiredPosition == UNSET
                        ? 0
                        : (requiredPosition - host.position) / 2;
        return Math.max(
                Math.min(2_000 * MILLISECOND, 100 * MILLISECOND << Math.min(5, failures)),
                Math.min(1_000 * MILLISECOND, missingNanos));
    }

    /** Reports are refreshed every 50 to 250 ms, so asking more often than each 100 ms brings little. */
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
