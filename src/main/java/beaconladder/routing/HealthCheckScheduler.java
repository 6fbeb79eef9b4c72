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

/** Which members are asked for the sake of held txns, and when. */
record HealthCheckScheduler(
        TrafficStatistics traffic,
        ClusterClock clock,
        OutlierDetector health,
        ReadPositions targets,
        ReplicaSelector choice,
        PriorityWeights worth,
        WakeupQueue agenda,
        SplittableRandom chance) {
    /**
     * Members to ask, each for the sake of a held txn that pays for it: for one that needs the primary the member taken
     * for it, or, where that is lost, the member furthest on; for a read the members that may be fresh enough. A router
     * asks nobody without such a txn: hundreds of them asking at each start and each return would be a flood of its
     * own.
     */
    List<Host> probes(long now) {
        List<Host> ask = new ArrayList<>();
        agenda.nextProbeNanos = NEVER;
        for (Group group : agenda.groupsWithQueued()) {
            int due = -1;
            for (Request request : group.queued) {
                if (request.probeNeed == Request.ProbeNeed.NONE || !choice.mayAsk(request)) {
                    continue;
                }
                long from = askFrom(request);
                if (now < from) {
                    agenda.nextProbeNanos = Math.min(agenda.nextProbeNanos, from);
                    continue;
                }
                // As many at once as a tenth of its value pays for, since one or two that answer are enough.
                double tenth = 0.1 * worth.of(request, now);
                int pays = (int) Math.max(1, Math.min(4, tenth / traffic.maxWeight / worth.fee("fees.probe")));
                due = due < 0 ? answersDue(group, now) : due;
                for (Host host : candidates(request, now)) {
                    if (due >= pays) {
                        break;
                    }
                    if (probe(host, every(host, request, now), ask, now)) {
                        due++;
                        request.probesSent++;
                        request.lastProbeNanos = now;
                    }
                }
            }
        }
        return ask;
    }

    private int answersDue(Group group, long now) {
        int due = 0;
        for (Host host : group.members) {
            due += host.probeInFlight && !health.mute(host, now) ? 1 : 0;
        }
        return due;
    }

    /** When this txn may ask again: its first two probes at once, the rest an SLA time for all. */
    private long askFrom(Request request) {
        if (request.probesSent >= 2) {
            return request.lastProbeNanos + request.requestClass.slaNanos() / worth.budget(request);
        }
        // Before a healthy replica's report can show the session's write there is nothing to learn.
        return request.requestClass.consistency() != Consistency.SESSION
                        || request.sessionTarget == UNSET
                        || traffic.reportedLags.size() < 4
                ? request.arrivedNanos
                : clock.moment(request.sessionTarget)
                        + Math.min(OutlierDetector.YOUNG, traffic.reportedLags.quantile(0.5));
    }

    private List<Host> candidates(Request request, long now) {
        List<Host> of = new ArrayList<>();
        Group group = request.group;
        boolean toPrimary = request.probeNeed == Request.ProbeNeed.PRIMARY;
        if (toPrimary
                && group.primary != null
                && group.primary.state == Host.State.READY
                && !group.primary.probeInFlight
                && !health.doubtful(group.primary, now)) {
            return List.of(group.primary);
        }
        for (Host host : group.members) {
            if (host.state == Host.State.READY
                    && !host.probeInFlight
                    && (toPrimary || host != group.primary)
                    // One that has just spoken has told what it can, but for a position not there yet.
                    && (host.lastReportNanos
                                    < Math.max(now - OutlierDetector.YOUNG, toPrimary ? group.primaryLostNanos : UNSET)
                            || !toPrimary && host.position < targets.target(request, now))) {
                of.add(host);
            }
        }
        // Shuffled, so that routers don't all ask the same one; then those furthest on in steps of a second,
        // as members that lag little are as good as each other.
        for (int i = of.size() - 1; i > 0; i--) {
            java.util.Collections.swap(of, i, chance.nextInt(i + 1));
        }
        of.sort(Comparator.comparingLong(h -> h.lagNanos / (1_000 * MILLISECOND)));
        return of;
    }

    /** How long a member is left alone after a probe: longer after failures, and while it must be behind. */
    private long every(Host host, Request request, long now) {
        long failed =
                host.responses.countSince(host.lastResponseNanos) - host.responses.sumSince(host.lastResponseNanos);
        long target = targets.target(request, now);
        long lacks = request.probeNeed == Request.ProbeNeed.PRIMARY || host.position == UNSET || target == UNSET
                ? 0
                : (target - host.position) / 2;
        return Math.max(
                Math.min(2_000 * MILLISECOND, 100 * MILLISECOND << Math.min(5, failed)),
                Math.min(1_000 * MILLISECOND, lacks));
    }

    /** Reports are refreshed every 50 to 250 ms, so asking more often than each 100 ms brings little. */
    private boolean probe(Host host, long every, List<Host> ask, long now) {
        if (host.lastProbeNanos != UNSET && now < host.lastProbeNanos + every) {
            agenda.nextProbeNanos = Math.min(agenda.nextProbeNanos, host.lastProbeNanos + every);
            return false;
        }
        host.probeInFlight = true;
        host.lastProbeNanos = now;
        ask.add(host);
        return true;
    }
}
