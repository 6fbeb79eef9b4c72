package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;
import static beaconladder.routing.state.TrafficStatistics.UNSET;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Idempotency;
import beaconladder.routing.state.SampleWindow;
import beaconladder.routing.state.TrafficStatistics;

/** Computes the time limits of a request: latency objective, fallback to the primary, last useful send, timeout. */
record DeadlinePolicy(TrafficStatistics traffic, OutlierDetector outliers) {
    /** How old a response time may be before it counts as caused by a load that has passed. */
    private static final long RECENT_RESPONSE_NANOS = 3_000 * MILLISECOND;
    /**
     * How much less than the remaining time is stated to a host as timeout. The protocol tolerates 0.15 s, and the
     * delay of a router between reading the clock and writing may use all of it; this margin covers further delays on a
     * shared core.
     */
    private static final long TIMEOUT_MARGIN_NANOS = 50 * MILLISECOND;
    /** The margin is at most the remaining time divided by this. */
    private static final int MARGIN_DIVISOR = 4;
    /** Time budgets within this of each other count as equal: arrivals are read once a tick, so they spread. */
    private static final long BUDGET_TOLERANCE_NANOS = 8 * MILLISECOND;
    /** With fewer time budgets than this, a cluster of equal ones can't be told from scatter. */
    private static final int MIN_BUDGETS = 8;
    /** Budgets below the SLA time count as first tries if they are more than this times as dense as those above it. */
    private static final int SHORT_BUDGET_FACTOR = 2;
    /** The period over which disconnecting clients are counted. */
    private static final long DISCONNECT_PERIOD_NANOS = 10_000 * MILLISECOND;
    /** Disconnects per ended request from which on they shorten the latency objective; a single one is no evidence. */
    private static final double DISCONNECT_SHARE = 0.3;

    private static final int MIN_DISCONNECTS = 2;
    /** A late answer whose share of the weight is not above this is no reason to send a request. */
    private static final double WORTHWHILE_LATE_SHARE = 0.25;
    /** The response time that is expected of an attempt, as a quantile: three in five attempts take longer. */
    private static final double EXPECTED_RESPONSE_QUANTILE = 0.4;
    /** An outage this many times as long as the time left ends within that time with a chance of 1 / 3.3 = 0.3. */
    private static final double OUTAGE_FACTOR = 2.3;

    /** The longest time between two routings of a queued request that waits for no probe. */
    private static final long QUEUED_CHECK_NANOS = 100 * MILLISECOND;

    private static final long MIN_WAKEUP_DELAY_NANOS = 5 * MILLISECOND;

    /**
     * Returns when the SLA time of the request ends, counted from the client's first try.
     *
     * <p>First tries of a request class arrive with the same time budget. Any other budget is what a retry has left of
     * the class's timeout, so the difference has already passed. This avoids serving retries that can no longer be in
     * time while new requests wait; in doubt the request counts as a first try. Where clients mark their retries, an
     * unmarked request is a first try. Where they don't, budgets below the SLA time that are more frequent than the
     * scatter of retries explains belong to clients whose first tries have little time; a budget above such ones is no
     * rest of them.
     */
    long slaEndNanos(Request request) {
        long budgetNanos = request.expiryNanos - request.arrivedNanos;
        SampleWindow budgets = request.requestClass.budgets();
        budgets.add(budgetNanos, 0, request.arrivedNanos);
        long firstTryBudgetNanos = budgets.densestClusterMiddle(BUDGET_TOLERANCE_NANOS);
        boolean retriesMarked = traffic.settings.clientsMarkRetries();
        boolean usualBudget =
                budgets.size() < MIN_BUDGETS || Math.abs(budgetNanos - firstTryBudgetNanos) <= BUDGET_TOLERANCE_NANOS;
        long slaNanos = request.requestClass.slaNanos();
        boolean shortFirstTry = budgetNanos < slaNanos
                && budgets.countBetween(0, slaNanos) * (firstTryBudgetNanos - slaNanos)
                        > SHORT_BUDGET_FACTOR
                                * budgets.countBetween(slaNanos, firstTryBudgetNanos - BUDGET_TOLERANCE_NANOS)
                                * slaNanos;
        // A client whose time budgets make up most of them may have less time than others.
        boolean moreThanShortFirstTries = firstTryBudgetNanos < slaNanos && budgetNanos > firstTryBudgetNanos;
        boolean firstTry =
                retriesMarked ? !request.retriedByClient : usualBudget || shortFirstTry || moreThanShortFirstTries;
        long elapsedNanos = firstTry
                ? 0
                : usualBudget
                        ? (long) (slaNanos * traffic.disconnectWaits.mean() / 1_000)
                        : Math.max(0, request.requestClass.timeoutNanos() - budgetNanos);
        return Math.min(request.arrivedNanos + slaNanos - elapsedNanos, request.expiryNanos);
    }

    /**
     * Returns the latency objective in nanoseconds: the SLA time, or, where many clients disconnect sooner, the mean
     * time that they recently waited.
     */
    double latencyObjectiveNanos(Request request, long now) {
        long periodStartNanos = now - DISCONNECT_PERIOD_NANOS;
        // Single clients disconnect at any time; three in ten within ten seconds show that clients wait less long.
        return traffic.disconnectWaits.countSince(periodStartNanos)
                        >= Math.max(MIN_DISCONNECTS, DISCONNECT_SHARE * traffic.commits.countSince(periodStartNanos))
                ? request.requestClass.slaNanos() * Math.min(1, traffic.disconnectWaits.mean(periodStartNanos) / 1_000)
                : request.requestClass.slaNanos();
    }

    /**
     * Returns when a queued read may go to the primary: one SLA time before its expiry, or earlier where the primary's
     * answer would otherwise be late. One and a half typical response times cover two answers in three. The time is no
     * later than one round before the last useful send, which slow replicas can move ahead of the fallback: a request
     * that is released after its last useful send is not sent.
     */
    long primaryFallbackNanos(Request request) {
        Host primary = request.group.primary;
        long primaryResponseNanos = primary == null || request.group.responseTimes.size() == 0
                ? 0
                : outliers.typicalResponseNanos(primary) * 3 / 2;
        return Math.min(
                Math.min(
                        request.expiryNanos - request.requestClass.slaNanos(),
                        request.slaEndNanos - primaryResponseNanos),
                latestUsefulSendNanos(request) - roundNanos());
    }

    /**
     * Returns the time from which on sending the request is no longer worthwhile, as three in five answers would be too
     * late. If a late answer keeps a quarter of the weight or less, the time counts up to the end of the SLA time,
     * since a new request gains more by the same work. This avoids feeding an overload with useless work.
     */
    long latestUsefulSendNanos(Request request) {
        if (request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            return latestSafeSendNanos(request);
        }
        long usefulUntilNanos =
                request.requestClass.lateShare() > WORTHWHILE_LATE_SHARE ? request.expiryNanos : request.slaEndNanos;
        return Math.min(
                usefulUntilNanos - request.group.responseTimes.quantile(EXPECTED_RESPONSE_QUANTILE),
                responseDeadlineNanos(request));
    }

    /**
     * Returns the last useful send of a non-idempotent request. If its attempt times out, it ends as one that may have
     * run, which is worse for the client than a rejection. So the primary's newest response time counts too, if it is
     * recent: a host that has just become slow does not show in the quantile yet. The answer has to arrive by the
     * response deadline, not by the expiry.
     */
    private long latestSafeSendNanos(Request request) {
        Host primary = request.group.primary;
        boolean recent =
                primary != null && primary.newestResponseAtNanos >= request.arrivedNanos - RECENT_RESPONSE_NANOS;
        long responseNanos = Math.max(
                recent ? primary.newestResponseDurationNanos : 0,
                request.group.responseTimes.quantile(EXPECTED_RESPONSE_QUANTILE));
        // A host may silently drop a write after the timeout stated to it, which is earlier by the margin.
        long latestResponseNanos = responseNanos == 0
                ? responseDeadlineNanos(request)
                : responseDeadlineNanos(request) - TIMEOUT_MARGIN_NANOS;
        return (request.requestClass.lateShare() > WORTHWHILE_LATE_SHARE
                        ? latestResponseNanos
                        : Math.min(request.slaEndNanos, latestResponseNanos))
                - responseNanos;
    }

    /**
     * Whether a request that depends on the primary and was never sent should end after half of its time, since the
     * primary has been lost for long, so that its client may retry. An outage that has lasted T ends within r with
     * probability r / (T + r); below 0.3 waiting is not worthwhile. The drawback is that fewer requests are waiting
     * here when the outage ends.
     */
    boolean isPrimaryOutageTooLong(Request request, long now) {
        Host primary = request.group.primary;
        boolean lost = primary == null || !primary.contacted || outliers.isSuspect(primary, now);
        long lostSinceNanos = primary == null ? request.group.primaryLostNanos : primary.lastResponseNanos;
        return lost
                && lostSinceNanos != UNSET
                && request.requestClass.consistency().dependsOnPrimary()
                && request.attempts.isEmpty()
                && now >= halfTimeNanos(request)
                && now - lostSinceNanos > OUTAGE_FACTOR * (latestUsefulSendNanos(request) - now);
    }

    private long halfTimeNanos(Request request) {
        return (request.arrivedNanos + responseDeadlineNanos(request)) / 2;
    }

    /** Returns how long an attempt may take, in nanoseconds; late answers without any weight are not waited for. */
    long attemptTimeoutNanos(Request request, long now) {
        boolean lateAnswerUseful =
                request.requestClass.lateShare() > 0 || request.requestClass.idempotency() != Idempotency.IDEMPOTENT;
        return (lateAnswerUseful
                        ? responseDeadlineNanos(request)
                        : Math.min(request.slaEndNanos, responseDeadlineNanos(request)))
                - now;
    }

    /** Returns the timeout to state to a host, in nanoseconds, when an attempt has this much time left. */
    long advertisedTimeoutNanos(long remainingNanos) {
        return remainingNanos - Math.min(TIMEOUT_MARGIN_NANOS, remainingNanos / MARGIN_DIVISOR);
    }

    private long roundNanos() {
        return traffic.settings.roundNanos();
    }

    /**
     * Returns the time two rounds (10 ms) before the expiry: on a busy core, timers and threads were up to 7 ms late.
     */
    private long responseDeadlineNanos(Request request) {
        return request.expiryNanos - 2 * roundNanos();
    }

    /** Returns when a queued request has to be routed again even if no event concerns it. */
    long nextWakeupNanos(Request request, long now) {
        long wakeupNanos = latestUsefulSendNanos(request);
        for (long timeNanos : new long[] {primaryFallbackNanos(request), halfTimeNanos(request)}) {
            wakeupNanos = now < timeNanos ? Math.min(wakeupNanos, timeNanos) : wakeupNanos;
        }
        // Trials of suspect hosts and tickets for hosts in slow start become available by the passing of time alone.
        long maxDelayNanos =
                request.probeNeed == Request.ProbeNeed.NONE ? QUEUED_CHECK_NANOS : OutlierDetector.PROBE_TIMEOUT_NANOS;
        return Math.max(now + MIN_WAKEUP_DELAY_NANOS, Math.min(wakeupNanos, now + maxDelayNanos));
    }
}
