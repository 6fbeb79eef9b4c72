package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MS;
import static beaconladder.routing.state.TrafficStatistics.NEVER;
import static beaconladder.routing.state.TrafficStatistics.UNBOUND;

import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Read;
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
        agenda.probe = NEVER;
        for (Group group : agenda.holding()) {
            int due = -1;
            for (Request txn : group.held) {
                if (txn.want == Request.Want.NOTHING || !choice.mayAsk(txn)) {
                    continue;
                }
                long from = askFrom(txn);
                if (now < from) {
                    agenda.probe = Math.min(agenda.probe, from);
                    continue;
                }
                // As many at once as a tenth of its value pays for, since one or two that answer are enough.
                double tenth = 0.1 * worth.of(txn, now);
                int pays = (int) Math.max(1, Math.min(4, tenth / traffic.topValue / worth.fee("fees.probe")));
                due = due < 0 ? answersDue(group, now) : due;
                for (Host host : candidates(txn, now)) {
                    if (due >= pays) {
                        break;
                    }
                    if (probe(host, every(host, txn, now), ask, now)) {
                        due++;
                        txn.asked++;
                        txn.askedAt = now;
                    }
                }
            }
        }
        return ask;
    }

    private int answersDue(Group group, long now) {
        int due = 0;
        for (Host host : group.members) {
            due += host.probeOut && !health.mute(host, now) ? 1 : 0;
        }
        return due;
    }

    /** When this txn may ask again: its first two probes at once, the rest an SLA time for all. */
    private long askFrom(Request txn) {
        if (txn.asked >= 2) {
            return txn.askedAt + txn.type.sla() / worth.budget(txn);
        }
        // Before a healthy replica's report can show the session's write there is nothing to learn.
        return txn.type.read() != Read.SESSION || txn.target == UNBOUND || traffic.stale.size() < 4
                ? txn.arrived
                : clock.moment(txn.target) + Math.min(OutlierDetector.YOUNG, traffic.stale.quantile(0.5));
    }

    private List<Host> candidates(Request txn, long now) {
        List<Host> of = new ArrayList<>();
        Group group = txn.group;
        boolean toPrimary = txn.want == Request.Want.PRIMARY;
        if (toPrimary
                && group.primary != null
                && group.primary.state == Host.State.READY
                && !group.primary.probeOut
                && !health.doubtful(group.primary, now)) {
            return List.of(group.primary);
        }
        for (Host host : group.members) {
            if (host.state == Host.State.READY
                    && !host.probeOut
                    && (toPrimary || host != group.primary)
                    // One that has just spoken has told what it can, but for a position not there yet.
                    && (host.saidAt < Math.max(now - OutlierDetector.YOUNG, toPrimary ? group.lostAt : UNBOUND)
                            || !toPrimary && host.position < targets.target(txn, now))) {
                of.add(host);
            }
        }
        // Shuffled, so that routers don't all ask the same one; then those furthest on in steps of a second,
        // as members that lag little are as good as each other.
        for (int i = of.size() - 1; i > 0; i--) {
            java.util.Collections.swap(of, i, chance.nextInt(i + 1));
        }
        of.sort(Comparator.comparingLong(h -> h.lag / (1_000 * MS)));
        return of;
    }

    /** How long a member is left alone after a probe: longer after failures, and while it must be behind. */
    private long every(Host host, Request txn, long now) {
        long failed = host.ends.since(host.lastHeard) - host.ends.sumSince(host.lastHeard);
        long target = targets.target(txn, now);
        long lacks = txn.want == Request.Want.PRIMARY || host.position == UNBOUND || target == UNBOUND
                ? 0
                : (target - host.position) / 2;
        return Math.max(Math.min(2_000 * MS, 100 * MS << Math.min(5, failed)), Math.min(1_000 * MS, lacks));
    }

    /** Reports are refreshed every 50 to 250 ms, so asking more often than each 100 ms brings little. */
    private boolean probe(Host host, long every, List<Host> ask, long now) {
        if (host.probeSent != UNBOUND && now < host.probeSent + every) {
            agenda.probe = Math.min(agenda.probe, host.probeSent + every);
            return false;
        }
        host.probeOut = true;
        host.probeSent = now;
        ask.add(host);
        return true;
    }
}
