package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MS;

import beaconladder.routing.api.DispatchCheck;
import beaconladder.routing.api.NextWakeup;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Word;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.RequestClass.Effect;
import beaconladder.routing.state.SlowStartTicket;
import beaconladder.routing.state.TrafficStatistics;
import beaconladder.routing.state.WakeupQueue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Every decision of one router, with the classes beside it; docs/design.md tells why it decides so.
 *
 * <p>How to call it, by {@link Router}: make one a router from the seed and the start-up settings, tell it of hosts
 * with {@link #listed}, ask {@link #place} for each txn that comes in, and do what the verdict says. A submission that
 * was sent is added to its txn and host; its end goes to {@link #after}. When all that is known at one time has been
 * told, ask {@link #pause}: probe the members it names, {@link #place} the txns it names, repeat until it names none,
 * and come back at its time or with the next news.
 */
public final class RoutingPolicy implements Router {
    /** A lack on this machine meets all hosts alike, and ends within milliseconds or not soon. */
    private static final long LOCAL_FAULT_REST = 20 * MS;

    private final WakeupQueue agenda = new WakeupQueue();
    /** Hosts with connections that this router will hardly use again soon. */
    private final Set<Host> idle = new LinkedHashSet<>();

    private final TrafficStatistics traffic;
    private final OutlierDetector health;
    private final SlowStart slowStart;
    private final DeadlinePolicy times;
    private final ReadPositions targets;
    private final ReplicaSelector choice;
    private final PriorityWeights worth;
    private final RetryPolicy ends;
    private final HealthCheckScheduler probing;
    private final HostStateTracker record;
    private final RetryGuard repeats = new RetryGuard();
    private final DispatchGuard sends;

    public RoutingPolicy(long seed, Map<String, String> start) {
        SplittableRandom chance = new SplittableRandom(seed);
        traffic = new TrafficStatistics(start);
        health = new OutlierDetector(traffic, chance);
        ClusterClock clock = new ClusterClock();
        slowStart = new SlowStart(traffic, clock, chance);
        times = new DeadlinePolicy(traffic, health);
        targets = new ReadPositions(traffic, clock, slowStart, new LinkedHashMap<>(64, 0.75f, true));
        worth = new PriorityWeights(traffic);
        ends = new RetryPolicy(traffic);
        ConcurrencyLimit room = new ConcurrencyLimit(traffic, health, times);
        choice = new ReplicaSelector(traffic, health, slowStart, times, room, targets, worth, chance);
        probing = new HealthCheckScheduler(traffic, clock, health, targets, choice, worth, agenda, chance);
        record = new HostStateTracker(traffic, clock, health, targets, agenda, idle);
        sends = new DispatchGuard(repeats, targets);
    }

    @Override
    public void listed(Host host, boolean leader, Host.State state, long launched, long now) {
        record.listed(host, leader, state, launched, now);
    }

    @Override
    public boolean forget(Host host, long now) {
        return record.forget(host, now);
    }

    @Override
    public void probed(Host host, Outcome outcome, Word report, long now) {
        record.probed(host, outcome, report, now);
    }

    @Override
    public RequestClass type(int place) {
        return traffic.types.get(place);
    }

    @Override
    public RoutingDecision place(Request txn, long now) {
        if (!txn.known) {
            txn.known = true;
            txn.target = targets.sessionTarget(txn, now);
            txn.slaEnd = times.slaEnd(txn);
            traffic.comes(txn.type);
            txn.group.comes.add(0, 0, now);
            slowStart.drawTickets(txn.group, now);
        }
        agenda.drop(txn);
        RoutingDecision verdict = decide(txn, now);
        if (verdict.step() == RoutingDecision.Step.SEND) {
            verdict.host().sentAt = now;
            boolean spent = verdict.host().tickets.pollFirst() != null;
            targets.sent(txn);
            agenda.schedule(txn, now + health.usual(verdict.host()));
            if (slowStart.cold(verdict.host(), now)) {
                return verdict.with(spent ? SlowStartTicket.SPENT : SlowStartTicket.MISSING);
            }
        }
        return verdict;
    }

    private RoutingDecision decide(Request txn, long now) {
        int out = txn.out();
        if (!repeats.allows(txn, null, now)) {
            return out > 0 ? RoutingDecision.waiting() : RoutingDecision.rollBack(RoutingDecision.Reason.MAY_HAVE_RUN);
        }
        if (out > 0) {
            return copy(txn, now);
        }
        RoutingDecision.Reason end = txn.submissions.size() - txn.localFaults >= ends.mostSubmissions(txn)
                ? RoutingDecision.Reason.ATTEMPTS_USED
                : now >= times.lastUse(txn)
                        ? RoutingDecision.Reason.NO_TIME
                        : times.hopeless(txn, now) ? RoutingDecision.Reason.PRIMARY_LOST : RoutingDecision.Reason.NONE;
        if (end != RoutingDecision.Reason.NONE) {
            return ends.giveUp(txn, end, now);
        }
        txn.want = Request.Want.NOTHING;
        if (now < txn.retryAt) {
            agenda.hold(txn);
            agenda.schedule(txn, txn.retryAt);
            return RoutingDecision.waiting();
        }
        Host host = choice.choose(txn, now);
        if (host != null) {
            return RoutingDecision.send(host, times.timeout(txn, now));
        }
        agenda.hold(txn);
        agenda.schedule(txn, times.nextLook(txn, now));
        return RoutingDecision.waiting();
    }

    /** A repeatable txn that is out at hosts gone silent gets a second copy elsewhere. */
    private RoutingDecision copy(Request txn, long now) {
        if (txn.type.effect() != Effect.REPEATABLE
                || !traffic.says("limits.second_copies")
                || txn.submissions.size() >= ends.mostSubmissions(txn)
                || now >= times.lastUse(txn)) {
            return RoutingDecision.waiting();
        }
        for (Attempt s : txn.submissions) {
            if (!s.ended && !health.doubtful(s.host, now)) {
                agenda.schedule(txn, now + health.usual(s.host));
                return RoutingDecision.waiting();
            }
        }
        Host host = choice.choose(txn, now);
        if (host != null) {
            return RoutingDecision.send(host, times.timeout(txn, now));
        }
        agenda.schedule(txn, now + 50 * MS);
        return RoutingDecision.waiting();
    }

    @Override
    public DispatchCheck mayGo(Attempt s, long now) {
        return sends.check(s, now);
    }

    /** A second less than the stated time: a host's clock of idleness runs from an earlier byte than ours. */
    @Override
    public long keepIdle() {
        return Math.max(0, traffic.micros("limits.conn_idle_us") - 1_000 * MS);
    }

    @Override
    public long toldTime(long left) {
        return times.toldTime(left);
    }

    @Override
    public RoutingDecision after(Attempt s, Outcome outcome, boolean settled, Word answer, Word report, long now) {
        record.ended(s, outcome, answer, report, now);
        Request txn = s.txn;
        if (outcome == Outcome.LOCAL_FAULT) {
            txn.localFaults++;
            txn.retryAt = now + LOCAL_FAULT_REST;
        }
        if (txn.ended) {
            return RoutingDecision.waiting();
        }
        if (settled) {
            agenda.drop(txn);
            traffic.served(txn, outcome == Outcome.COMMITTED && now <= txn.slaEnd);
            slowStart.ended(s, outcome == Outcome.COMMITTED, now);
            return RoutingDecision.done(ends.othersOut(txn));
        }
        return place(txn, now);
    }

    @Override
    public RoutingDecision left(Request txn, long now) {
        agenda.drop(txn);
        traffic.patience.add((now - txn.arrived) * 1_000 / txn.type.sla(), 0, now);
        traffic.failed(txn, now);
        // Work for a client that has gone keeps the next one waiting.
        return RoutingDecision.done(ends.othersOut(txn));
    }

    /** What may have run is waited for, as rule 2 has it, and never sent again: it would run in two places. */
    @Override
    public RoutingDecision displaced(Request txn, long now) {
        agenda.drop(txn);
        Attempt ran = txn.mayHaveRun();
        if (txn.out() > 0) {
            return RoutingDecision.waiting();
        }
        traffic.served(txn, false);
        traffic.failed(txn, now);
        return ran == null || txn.type.effect() == Effect.REPEATABLE
                ? RoutingDecision.decline(0, RoutingDecision.Reason.NOT_ADMITTED)
                : RoutingDecision.rollBack(RoutingDecision.Reason.NOT_ADMITTED);
    }

    @Override
    public NextWakeup pause(long now) {
        Set<Request> again = agenda.due(now);
        agenda.changed().forEach(group -> again.addAll(group.held));
        List<Request> order = new ArrayList<>(again);
        double[] weights = order.size() < 2 ? new double[0] : worth.weights();
        // Of equal worth the one with most time left goes first: with more work than room, the oldest first
        // would have each txn served when it is nearly too late, and many when it is.
        order.sort(Comparator.<Request>comparingDouble(t -> -worth.of(t, now) * weights[t.type.place()])
                .thenComparingLong(t -> -t.slaEnd)
                .thenComparingLong(t -> t.number));
        List<Host> probes = probing.probes(now);
        List<Host> close = new ArrayList<>(idle);
        idle.clear();
        close.removeIf(host -> !host.out.isEmpty());
        return new NextWakeup(agenda.next(), probes, order, close);
    }
}
