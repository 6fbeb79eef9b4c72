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
import beaconladder.routing.state.RouterSettings;
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
 * Every decision of one router, with the classes beside it; docs/design.md gives the reasons.
 *
 * <p>How to call it, by {@link Router}: create it from the seed and the settings, report hosts with
 * {@link #updateHost}, call {@link #route} for each request that arrives, and execute the decision. An attempt that was
 * sent is added to its request and host; its end goes to {@link #onAttemptEnded}. When all events known at one time are
 * reported, call {@link #nextWakeup}: probe the hosts it names, {@link #route} the requests it names, and repeat until
 * it names none. {@link beaconladder.routing.api.DecisionLoop} does this.
 */
public final class RoutingPolicy implements Router {
    /** A lack of connections on this machine concerns all hosts, and ends within milliseconds or not soon. */
    private static final long LOCAL_FAULT_BACKOFF = 20 * MILLISECOND;

    private final WakeupQueue wakeups = new WakeupQueue();
    /** Hosts whose connections this router is unlikely to reuse soon. */
    private final Set<Host> idleHosts = new LinkedHashSet<>();

    private final TrafficStatistics traffic;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final DeadlinePolicy deadlines;
    private final ReadPositions readPositions;
    private final ReplicaSelector selector;
    private final PriorityWeights weights;
    private final RetryPolicy retryPolicy;
    private final HealthCheckScheduler healthChecks;
    private final HostStateTracker hostStates;
    private final RetryGuard retryGuard = new RetryGuard();
    private final DispatchGuard dispatchGuard;

    public RoutingPolicy(long seed, Map<String, String> settings) {
        SplittableRandom random = new SplittableRandom(seed);
        traffic = new TrafficStatistics(RouterSettings.parse(settings));
        outliers = new OutlierDetector(traffic, random);
        ClusterClock clock = new ClusterClock();
        slowStart = new SlowStart(traffic, clock, random);
        deadlines = new DeadlinePolicy(traffic, outliers);
        readPositions = new ReadPositions(traffic, clock, slowStart, new LinkedHashMap<>(64, 0.75f, true));
        weights = new PriorityWeights(traffic);
        retryPolicy = new RetryPolicy(traffic, deadlines);
        ConcurrencyLimit limit = new ConcurrencyLimit(traffic, outliers, deadlines);
        selector = new ReplicaSelector(traffic, outliers, slowStart, deadlines, limit, readPositions, weights, random);
        healthChecks =
                new HealthCheckScheduler(traffic, clock, outliers, readPositions, selector, weights, wakeups, random);
        hostStates = new HostStateTracker(traffic, clock, outliers, readPositions, wakeups, idleHosts);
        dispatchGuard = new DispatchGuard(retryGuard, readPositions);
    }

    @Override
    public void updateHost(Host host, boolean listedAsPrimary, Host.State state, long launchedNanos, long now) {
        hostStates.updateHost(host, listedAsPrimary, state, launchedNanos, now);
    }

    @Override
    public boolean removeHost(Host host, long now) {
        return hostStates.removeHost(host, now);
    }

    @Override
    public void onHealthCheckEnded(Host host, Outcome outcome, HostReport report, long now) {
        hostStates.onHealthCheckEnded(host, outcome, report, now);
    }

    @Override
    public RequestClass requestClass(int index) {
        return traffic.requestClasses.get(index);
    }

    @Override
    public RoutingDecision route(Request request, long now) {
        if (!request.registered) {
            request.registered = true;
            request.sessionTarget = readPositions.sessionTarget(request, now);
            request.slaEndNanos = deadlines.slaEndNanos(request);
            traffic.recordArrival(request.requestClass);
            request.group.arrivals.add(0, 0, now);
            slowStart.drawTickets(request.group, now);
        }
        wakeups.remove(request);
        RoutingDecision decision = decide(request, now);
        if (decision.step() == RoutingDecision.Step.SEND) {
            decision.host().lastSentNanos = now;
            boolean ticketUsed = decision.host().slowStartTickets.pollFirst() != null;
            readPositions.recordSend(request);
            wakeups.schedule(request, now + outliers.typicalResponseNanos(decision.host()));
            if (slowStart.isWarmingUp(decision.host(), now)) {
                return decision.withTicket(ticketUsed ? SlowStartTicket.USED : SlowStartTicket.MISSING);
            }
        }
        return decision;
    }

    private RoutingDecision decide(Request request, long now) {
        int inFlight = request.attemptsInFlight();
        if (!retryGuard.allows(request, null, now)) {
            return inFlight > 0
                    ? RoutingDecision.waiting()
                    : RoutingDecision.rollBack(RoutingDecision.Reason.MAY_HAVE_RUN);
        }
        if (inFlight > 0) {
            return hedge(request, now);
        }
        RoutingDecision.Reason end = retryPolicy.endReason(request, now);
        if (end != RoutingDecision.Reason.NONE) {
            return retryPolicy.endWithoutCommit(request, end, now);
        }
        request.probeNeed = Request.ProbeNeed.NONE;
        if (now < request.retryNotBeforeNanos) {
            wakeups.enqueue(request);
            wakeups.schedule(request, request.retryNotBeforeNanos);
            return RoutingDecision.waiting();
        }
        Host host = selector.select(request, now);
        if (host != null) {
            return RoutingDecision.send(host, deadlines.attemptTimeoutNanos(request, now));
        }
        wakeups.enqueue(request);
        wakeups.schedule(request, deadlines.nextWakeupNanos(request, now));
        return RoutingDecision.waiting();
    }

    /** An idempotent request in flight only at suspect hosts gets a hedge at another host. */
    private RoutingDecision hedge(Request request, long now) {
        if (request.requestClass.idempotency() != Idempotency.IDEMPOTENT
                || !traffic.settings.hedgingAllowed()
                || request.attempts.size() >= retryPolicy.maxAttempts(request)
                || now >= deadlines.latestUsefulSendNanos(request)) {
            return RoutingDecision.waiting();
        }
        for (Attempt attempt : request.attempts) {
            if (!attempt.ended && !outliers.isSuspect(attempt.host, now)) {
                wakeups.schedule(request, now + outliers.typicalResponseNanos(attempt.host));
                return RoutingDecision.waiting();
            }
        }
        Host host = selector.select(request, now);
        if (host != null) {
            return RoutingDecision.send(host, deadlines.attemptTimeoutNanos(request, now));
        }
        wakeups.schedule(request, now + 50 * MILLISECOND);
        return RoutingDecision.waiting();
    }

    @Override
    public DispatchCheck checkDispatch(Attempt attempt, long now) {
        return dispatchGuard.check(attempt, now);
    }

    /** A second less than the stated time, since a host counts idle time from an earlier byte than this router. */
    @Override
    public long maxIdleNanos() {
        return Math.max(0, traffic.settings.connectionIdleNanos() - 1_000 * MILLISECOND);
    }

    @Override
    public long advertisedTimeoutNanos(long remainingNanos) {
        return deadlines.advertisedTimeoutNanos(remainingNanos);
    }

    @Override
    public RoutingDecision onAttemptEnded(
            Attempt attempt, Outcome outcome, boolean settled, HostReport answer, HostReport report, long now) {
        hostStates.onAttemptEnded(attempt, outcome, answer, report, now);
        Request request = attempt.request;
        if (outcome == Outcome.LOCAL_FAULT) {
            request.localFaults++;
            request.retryNotBeforeNanos = now + LOCAL_FAULT_BACKOFF;
        }
        if (request.ended) {
            return RoutingDecision.waiting();
        }
        if (settled) {
            wakeups.remove(request);
            traffic.recordSlaResult(request, outcome == Outcome.COMMITTED && now <= request.slaEndNanos);
            slowStart.onRequestSettled(attempt, outcome == Outcome.COMMITTED, now);
            return RoutingDecision.done(retryPolicy.attemptsToCancel(request));
        }
        return route(request, now);
    }

    @Override
    public RoutingDecision onClientDisconnected(Request request, long now) {
        wakeups.remove(request);
        traffic.disconnectWaits.add((now - request.arrivedNanos) * 1_000 / request.requestClass.slaNanos(), 0, now);
        traffic.recordFailure(request, now);
        // Work for a client that has disconnected delays the requests of others.
        return RoutingDecision.done(retryPolicy.attemptsToCancel(request));
    }

    /** What may have run is waited for (rule 2) and never sent again, since it would run in two cells. */
    @Override
    public RoutingDecision onAdmissionLost(Request request, long now) {
        wakeups.remove(request);
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
        Set<Request> due = wakeups.takeDue(now);
        wakeups.takeChanged().forEach(group -> due.addAll(group.queued));
        List<Request> ordered = new ArrayList<>(due);
        double[] classWeights = ordered.size() < 2 ? new double[0] : weights.classWeights();
        // Of equal weight the one with most time left goes first: with more work than capacity, the oldest first
        // would have each request served when it is nearly too late, and many when it is.
        ordered.sort(Comparator.<Request>comparingDouble(
                        request -> -weights.remainingWeight(request, now) * classWeights[request.requestClass.index()])
                .thenComparingLong(request -> -request.slaEndNanos)
                .thenComparingLong(request -> request.sequenceNumber));
        List<Host> probes = healthChecks.takeProbes(now);
        List<Host> toDisconnect = new ArrayList<>(idleHosts);
        idleHosts.clear();
        toDisconnect.removeIf(host -> !host.inFlight.isEmpty());
        return new NextWakeup(wakeups.nextWakeupNanos(), probes, ordered, toDisconnect);
    }
}
