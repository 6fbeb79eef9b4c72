package beaconladder.testbed.scale;

import beaconladder.routing.RoutingPolicy;
import beaconladder.routing.api.DecisionLoop;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongFunction;

/**
 * Simulates one router in virtual time: the real routing module and its real decision loop, which runs after each event
 * as in the server, with simulated hosts. There are no sockets, clients, threads or locks.
 */
final class SimulatedRouter implements DecisionLoop.ActionHandler {
    static final long NANOS_PER_MILLI = SimulatedHosts.NANOS_PER_MILLI;
    /** The users' figure of statements per second for one router. */
    static final double STATEMENTS_PER_SECOND = 902;

    private static final int SESSION_CLASS = 1;
    /** The cumulative shares of the request classes: a quarter writes, and reads as on valpo-despacho-later. */
    static final List<Double> MIXED_SHARES = List.of(0.38, 0.57, 0.75, 1.0);
    /** A quarter writes, and reads of data of any age: the module is asked the same however old its record is. */
    static final List<Double> PLAIN_SHARES = List.of(0.0, 0.0, 0.75, 1.0);
    /**
     * The share of session reads that follow a write of their session, and the delay after it, from the same page as
     * the mixed shares.
     */
    private static final double FOLLOWS_WRITE_SHARE = 0.76;

    private static final long[] READ_AFTER_WRITE_NANOS = {130 * NANOS_PER_MILLI, 630 * NANOS_PER_MILLI};
    /** The start of virtual time, late enough that positions before the start exist. */
    private static final long START_NANOS = 100_000 * NANOS_PER_MILLI;
    /**
     * The timeout of a connection attempt, and the delays until the endpoint list names the lost hosts and the new
     * primaries.
     */
    private static final long CONNECT_TIMEOUT_NANOS = 250 * NANOS_PER_MILLI;

    private static final long LOSS_LISTED_DELAY_NANOS = 8_000 * NANOS_PER_MILLI;
    private static final long NEW_PRIMARY_LISTED_DELAY_NANOS = 3_000 * NANOS_PER_MILLI;
    /** The minimum time between two runs of the decision loop, as for the server's timer. */
    private static final long MIN_TIMER_REST_NANOS = NANOS_PER_MILLI;

    /** Observes what the router does. */
    interface Observer {
        /** Called when a request has arrived, before the module is asked. */
        default void requestArrived(Request request, long now) {}

        default void attemptSent(Attempt attempt, long now) {}

        default void requestAnswered(Request request, long now) {}

        default void probeSent(Host host, long now) {}

        /** Called when a call to this host has ended and its connection is free. */
        default void callEnded(Host host, long now) {}

        default void idleCloseRequested(Host host, long now) {}

        /** Called when the request has its final answer of any kind. */
        default void requestEnded(Request request, long now) {}
    }

    private record Event(long at, long number, Runnable run) {}

    final List<Host> hosts = new ArrayList<>();
    private final List<Group> groups = new ArrayList<>();
    private final SimulatedHosts simulatedHosts;
    private final SplittableRandom random;
    private final List<Double> cumulativeShares;
    private final Observer observer;
    private final Router policy;
    private final DecisionLoop decisionLoop;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long now = START_NANOS;
    private long nextRunNanos = Long.MAX_VALUE;
    private long eventCount;
    private long arrivals;

    /** Creates the router; the observer is created with the time for which an idle connection may still be used. */
    SimulatedRouter(
            SimulatedHosts simulatedHosts,
            SplittableRandom random,
            List<Double> cumulativeShares,
            LongFunction<Observer> observer) {
        this.cumulativeShares = cumulativeShares;
        this.simulatedHosts = simulatedHosts;
        this.random = random;
        policy = new RoutingPolicy(random.nextLong(), SimulatedRouterSettings.settings(simulatedHosts.count()));
        decisionLoop = new DecisionLoop(policy, this);
        this.observer = observer.apply(policy.maxIdleNanos());
        for (int i = 0; i < simulatedHosts.count(); i++) {
            if (SimulatedHosts.isPrimary(i)) {
                groups.add(new Group(groups.size()));
            }
            Host host = new Host(i, groups.get(groups.size() - 1), i % SimulatedHosts.GROUP_SIZE);
            hosts.add(host);
            policy.updateHost(host, SimulatedHosts.isPrimary(i), Host.State.READY, 0, now);
        }
        nextRunNanos = decisionLoop.processDue(now);
        schedule(now, this::scheduleArrival);
    }

    long now() {
        return now;
    }

    /** Runs until so many transactions have arrived in total. */
    void runUntilArrivals(long requests) {
        while (arrivals < requests) {
            long next = events.peek().at();
            if (nextRunNanos <= next) {
                now = Math.max(now, nextRunNanos);
                // The server's timer rests between two runs, so that it cannot spin.
                nextRunNanos = Math.max(decisionLoop.processDue(now), now + MIN_TIMER_REST_NANOS);
            } else {
                now = next;
                events.poll().run().run();
                nextRunNanos = Math.max(decisionLoop.processDue(now), now + MIN_TIMER_REST_NANOS);
            }
        }
    }

    private void schedule(long atNanos, Runnable run) {
        events.add(new Event(atNanos, eventCount++, run));
    }

    private void scheduleArrival() {
        schedule(
                now + (long) (1e9 / STATEMENTS_PER_SECOND * -StrictMath.log(1 - random.nextDouble())),
                this::scheduleArrival);
        double draw = random.nextDouble();
        int classIndex = 0;
        while (draw >= cumulativeShares.get(classIndex)) {
            classIndex++;
        }
        long writePosition = classIndex == SESSION_CLASS && random.nextDouble() < FOLLOWS_WRITE_SHARE
                ? now - random.nextLong(READ_AFTER_WRITE_NANOS[0], READ_AFTER_WRITE_NANOS[1])
                : HostReport.NO_POSITION;
        Request request = new Request(
                arrivals,
                policy.requestClass(classIndex),
                groups.get(random.nextInt(groups.size())),
                0,
                writePosition,
                0,
                false,
                now,
                now + policy.requestClass(classIndex).timeoutNanos(),
                arrivals++);
        observer.requestArrived(request, now);
        decisionLoop.execute(request, policy.route(request, now), now);
    }

    /** Loses a ninth of the hosts now; the endpoint list reports them, and later the new primaries, after a delay. */
    void loseZone() {
        simulatedHosts.loseZone(now);
        schedule(
                now + LOSS_LISTED_DELAY_NANOS,
                () -> hosts.stream()
                        .filter(host -> simulatedHosts.isInLostZone(host.id))
                        .forEach(host -> policy.updateHost(host, false, Host.State.GONE, 0, now)));
        schedule(
                now + SimulatedHosts.FAILOVER_NANOS + NEW_PRIMARY_LISTED_DELAY_NANOS,
                () -> hosts.stream()
                        .filter(host ->
                                simulatedHosts.isCurrentPrimary(host.id, now) && !SimulatedHosts.isPrimary(host.id))
                        .forEach(host -> policy.updateHost(host, true, Host.State.READY, 0, now)));
    }

    private void endAttempt(Attempt attempt, Outcome outcome) {
        if (attempt.ended) {
            return;
        }
        observer.callEnded(attempt.host, now);
        if (outcome == Outcome.COMMITTED && !attempt.request.ended) {
            observer.requestAnswered(attempt.request, now);
        }
        boolean hostAnswered = outcome.isFromHost();
        decisionLoop.execute(
                attempt.request,
                policy.onAttemptEnded(
                        attempt,
                        outcome,
                        attempt.request.ended || outcome == Outcome.COMMITTED,
                        hostAnswered ? simulatedHosts.answerReport(attempt.host.id, now) : HostReport.EMPTY,
                        hostAnswered ? simulatedHosts.loadReport(attempt.host.id, now) : HostReport.EMPTY,
                        now),
                now);
    }

    @Override
    public void send(Attempt attempt, long timeout) {
        observer.attemptSent(attempt, now);
        long statementNanos = simulatedHosts.statementNanos();
        int host = attempt.host.id;
        if (simulatedHosts.isDown(host, now)) {
            schedule(now + Math.min(CONNECT_TIMEOUT_NANOS, timeout), () -> endAttempt(attempt, Outcome.UNREACHABLE));
            return;
        }
        Outcome outcome = attempt.request.requestClass.consistency().requiresPrimary()
                        && !simulatedHosts.isCurrentPrimary(host, now)
                ? Outcome.MISS
                : Outcome.COMMITTED;
        schedule(now + Math.min(statementNanos, timeout), () -> {
            if (simulatedHosts.isDown(host, now)) {
                // The host was lost during the statement, and its connection stays silent.
                schedule(attempt.sentNanos + timeout, () -> endAttempt(attempt, Outcome.TIMED_OUT));
            } else {
                endAttempt(attempt, statementNanos <= timeout ? outcome : Outcome.TIMED_OUT);
            }
        });
    }

    @Override
    public void cancel(Attempt attempt) {
        schedule(now, () -> endAttempt(attempt, Outcome.CANCELLED));
    }

    @Override
    public void probe(Host host) {
        observer.probeSent(host, now);
        boolean down = simulatedHosts.isDown(host.id, now);
        schedule(now + (down ? CONNECT_TIMEOUT_NANOS : simulatedHosts.probeNanos()), () -> {
            observer.callEnded(host, now);
            policy.onHealthCheckEnded(
                    host,
                    down ? Outcome.UNREACHABLE : Outcome.COMMITTED,
                    down ? HostReport.EMPTY : simulatedHosts.loadReport(host.id, now),
                    now);
        });
    }

    @Override
    public void closeIdleConnections(Host host) {
        observer.idleCloseRequested(host, now);
    }

    @Override
    public void reject(Request request, long retryAfter, RoutingDecision.Reason reason) {}

    @Override
    public void rollBack(Request request, RoutingDecision.Reason reason) {}

    @Override
    public void onRequestEnded(Request request) {
        observer.requestEnded(request, now);
    }
}
