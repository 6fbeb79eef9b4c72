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
 * Makes all routing decisions of one router, by way of the other classes of this package; docs/design.md gives the
 * reasons.
 *
 * <p>Usage: create it from a seed and the settings, report hosts with {@link #updateHost}, call {@link #route} for each
 * request that arrives, and execute the decision. Add each attempt that is sent to its request and its host, and report
 * its end to {@link #onAttemptEnded}. After all events known at one time are reported, call {@link #nextWakeup}: probe
 * the returned hosts, {@link #route} the returned requests, and repeat until it returns no request.
 * {@link beaconladder.routing.api.DecisionLoop} implements these steps.
 */
public final class RoutingPolicy implements Router {
    /**
     * How long a request waits after its attempt got no connection on the local machine. Such a shortage affects
     * attempts to all hosts alike, and either ends within milliseconds or lasts.
     */
    private static final long LOCAL_FAULT_BACKOFF_NANOS = 20 * MILLISECOND;
    /** How long a hedge for which no host was found waits before the next try. */
    private static final long HEDGE_RETRY_NANOS = 50 * MILLISECOND;
    /** How much earlier than a host a router counts a connection as idle for too long. */
    private static final long IDLE_MARGIN_NANOS = 1_000 * MILLISECOND;

    private final WakeupQueue wakeups = new WakeupQueue();
    /** Hosts whose idle connections this router is unlikely to reuse soon. */
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
    private final RequestIdPolicy requestIds = new RequestIdPolicy();
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
            if (slowStart.isInSlowStart(decision.host(), now)) {
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

    /** Sends an idempotent request that is in flight at suspect hosts only to another host as well. */
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
        wakeups.schedule(request, now + HEDGE_RETRY_NANOS);
        return RoutingDecision.waiting();
    }

    @Override
    public DispatchCheck checkDispatch(Attempt attempt, long now) {
        return dispatchGuard.check(attempt, now);
    }

    /**
     * Returns one second less than the hosts' idle timeout, since a host counts idle time from an earlier byte than
     * this router; never less than 0.
     */
    @Override
    public long maxIdleNanos() {
        return Math.max(0, traffic.settings.connectionIdleNanos() - IDLE_MARGIN_NANOS);
    }

    @Override
    public long advertisedTimeoutNanos(long remainingNanos) {
        return deadlines.advertisedTimeoutNanos(remainingNanos);
    }

    @Override
    public long idReservedUntilNanos(Request request, long now) {
        return requestIds.reservedUntilNanos(request, now);
    }

    @Override
    public RoutingDecision onAttemptEnded(
            Attempt attempt, Outcome outcome, boolean settled, HostReport answer, HostReport report, long now) {
        hostStates.onAttemptEnded(attempt, outcome, answer, report, now);
        Request request = attempt.request;
        if (outcome == Outcome.LOCAL_FAULT) {
            request.localFaults++;
            request.retryNotBeforeNanos = now + LOCAL_FAULT_BACKOFF_NANOS;
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
        // Further work for a disconnected client would only delay the requests of other clients.
        return RoutingDecision.done(retryPolicy.attemptsToCancel(request));
    }

    /**
     * Waits for attempts in flight, which may have run (rule 2), and sends no further attempt, since the request could
     * then run in two cells.
     */
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
        // Among requests of equal weight those of clients with the fewest requests go first, so that a client that
        // pipelines at full speed does not take all turns. Among these the one with the most time left goes first:
        // under overload, oldest first would serve each request just before its deadline, and many after it.
        ordered.sort(Comparator.<Request>comparingDouble(
                        request -> -weights.remainingWeight(request, now) * classWeights[request.requestClass.index()])
                .thenComparingInt(request -> request.clientRequests.inFlight)
                .thenComparingLong(request -> -request.slaEndNanos)
                .thenComparingLong(request -> request.sequenceNumber));
        List<Host> probes = healthChecks.takeProbes(now);
        List<Host> toDisconnect = new ArrayList<>(idleHosts);
        idleHosts.clear();
        toDisconnect.removeIf(host -> !host.inFlight.isEmpty());
        return new NextWakeup(wakeups.nextWakeupNanos(), probes, ordered, toDisconnect);
    }
}
