package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

import beaconladder.routing.api.DispatchCheck;
import beaconladder.routing.api.NextWakeup;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.RequestClass.Idempotency;
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
    private static final long LOCAL_FAULT_REST = 20 * MILLISECOND;

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
    public void updateHost(Host host, boolean leader, Host.State state, long launched, long now) {
        record.listed(host, leader, state, launched, now);
    }

    @Override
    public boolean removeHost(Host host, long now) {
        return record.forget(host, now);
    }

    @Override
    public void onHealthCheckEnded(Host host, Outcome outcome, HostReport report, long now) {
        record.probed(host, outcome, report, now);
    }

    @Override
    public RequestClass requestClass(int place) {
        return traffic.requestClasses.get(place);
    }

    @Override
    public RoutingDecision route(Request request, long now) {
        if (!request.registered) {
            request.registered = true;
            request.sessionTarget = targets.sessionTarget(request, now);
            request.slaEndNanos = times.slaEnd(request);
            traffic.recordArrival(request.requestClass);
            request.group.arrivals.add(0, 0, now);
            slowStart.drawTickets(request.group, now);
        }
        agenda.remove(request);
        RoutingDecision decision = decide(request, now);
        if (decision.step() == RoutingDecision.Step.SEND) {
            decision.host().lastSentNanos = now;
            boolean spent = decision.host().slowStartTickets.pollFirst() != null;
            targets.sent(request);
            agenda.schedule(request, now + health.usual(decision.host()));
            if (slowStart.cold(decision.host(), now)) {
                return decision.withTicket(spent ? SlowStartTicket.USED : SlowStartTicket.MISSING);
            }
        }
        return decision;
    }

    private RoutingDecision decide(Request request, long now) {
        int out = request.attemptsInFlight();
        if (!repeats.allows(request, null, now)) {
            return out > 0 ? RoutingDecision.waiting() : RoutingDecision.rollBack(RoutingDecision.Reason.MAY_HAVE_RUN);
        }
        if (out > 0) {
            return copy(request, now);
        }
        RoutingDecision.Reason end = request.attempts.size() - request.localFaults >= ends.mostSubmissions(request)
                ? RoutingDecision.Reason.ATTEMPTS_USED
                : now >= times.lastUse(request)
                        ? RoutingDecision.Reason.NO_TIME
                        : times.hopeless(request, now)
                                ? RoutingDecision.Reason.PRIMARY_LOST
                                : RoutingDecision.Reason.NONE;
        if (end != RoutingDecision.Reason.NONE) {
            return ends.giveUp(request, end, now);
        }
        request.probeNeed = Request.ProbeNeed.NONE;
        if (now < request.retryNotBeforeNanos) {
            agenda.enqueue(request);
            agenda.schedule(request, request.retryNotBeforeNanos);
            return RoutingDecision.waiting();
        }
        Host host = choice.choose(request, now);
        if (host != null) {
            return RoutingDecision.send(host, times.timeout(request, now));
        }
        agenda.enqueue(request);
        agenda.schedule(request, times.nextLook(request, now));
        return RoutingDecision.waiting();
    }

    /** A repeatable txn that is out at hosts gone silent gets a second copy elsewhere. */
    private RoutingDecision copy(Request request, long now) {
        if (request.requestClass.idempotency() != Idempotency.IDEMPOTENT
                || !traffic.isEnabled("limits.second_copies")
                || request.attempts.size() >= ends.mostSubmissions(request)
                || now >= times.lastUse(request)) {
            return RoutingDecision.waiting();
        }
        for (Attempt attempt : request.attempts) {
            if (!attempt.ended && !health.doubtful(attempt.host, now)) {
                agenda.schedule(request, now + health.usual(attempt.host));
                return RoutingDecision.waiting();
            }
        }
        Host host = choice.choose(request, now);
        if (host != null) {
            return RoutingDecision.send(host, times.timeout(request, now));
        }
        agenda.schedule(request, now + 50 * MILLISECOND);
        return RoutingDecision.waiting();
    }

    @Override
    public DispatchCheck checkDispatch(Attempt attempt, long now) {
        return sends.check(attempt, now);
    }

    /** A second less than the stated time: a host's clock of idleness runs from an earlier byte than ours. */
    @Override
    public long maxIdleNanos() {
        return Math.max(0, traffic.nanosOf("limits.conn_idle_us") - 1_000 * MILLISECOND);
    }

    @Override
    public long advertisedTimeoutNanos(long left) {
        return times.toldTime(left);
    }

    @Override
    public RoutingDecision onAttemptEnded(
            Attempt attempt, Outcome outcome, boolean settled, HostReport answer, HostReport report, long now) {
        record.ended(attempt, outcome, answer, report, now);
        Request request = attempt.request;
        if (outcome == Outcome.LOCAL_FAULT) {
            request.localFaults++;
            request.retryNotBeforeNanos = now + LOCAL_FAULT_REST;
        }
        if (request.ended) {
            return RoutingDecision.waiting();
        }
        if (settled) {
            agenda.remove(request);
            traffic.recordSlaResult(request, outcome == Outcome.COMMITTED && now <= request.slaEndNanos);
            slowStart.ended(attempt, outcome == Outcome.COMMITTED, now);
            return RoutingDecision.done(ends.othersOut(request));
        }
        return route(request, now);
    }

    @Override
    public RoutingDecision onClientDisconnected(Request request, long now) {
        agenda.remove(request);
        traffic.disconnectWaits.add((now - request.arrivedNanos) * 1_000 / request.requestClass.slaNanos(), 0, now);
        traffic.recordFailure(request, now);
        // Work for a client that has gone keeps the next one waiting.
        return RoutingDecision.done(ends.othersOut(request));
    }

    /** What may have run is waited for, as rule 2 has it, and never sent again: it would run in two places. */
    @Override
    public RoutingDecision onAdmissionLost(Request request, long now) {
        agenda.remove(request);
        Attempt possiblyExecuted = request.firstPossiblyExecuted();
        if (request.attemptsInFlight() > 0) {
            return RoutingDecision.waiting();
        }
        traffic.recordSlaResult(request, false);
        traffic.recordFailure(request, now);
        return possiblyExecuted == null || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                ? RoutingDecision.reject(0, RoutingDecision.Reason.NOT_ADMITTED)
                : RoutingDecision.rollBack(RoutingDecision.Reason.NOT_ADMITTED);
    }

    @Override
    public NextWakeup nextWakeup(long now) {
        Set<Request> again = agenda.takeDue(now);
        agenda.takeChanged().forEach(group -> again.addAll(group.queued));
        List<Request> order = new ArrayList<>(again);
        double[] weights = order.size() < 2 ? new double[0] : worth.weights();
        // Of equal worth the one with most time left goes first: with more work than room, the oldest first
        // would have each txn served when it is nearly too late, and many when it is.
        order.sort(Comparator.<Request>comparingDouble(
                        request -> -worth.of(request, now) * weights[request.requestClass.index()])
                .thenComparingLong(request -> -request.slaEndNanos)
                .thenComparingLong(request -> request.sequenceNumber));
        List<Host> probes = probing.probes(now);
        List<Host> close = new ArrayList<>(idle);
        idle.clear();
        close.removeIf(host -> !host.inFlight.isEmpty());
        return new NextWakeup(agenda.nextWakeupNanos(), probes, order, close);
    }
}
