package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;
import static beaconladder.routing.state.TrafficStatistics.UNSET;

import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Idempotency;
import beaconladder.routing.state.SampleWindow;
import beaconladder.routing.state.TrafficStatistics;

/** The time limits of a request: latency objective, fallback to the primary, last useful send, timeout. */
record DeadlinePolicy(TrafficStatistics traffic, OutlierDetector outliers) {
    /** An older response time reflects a load that may be over. */
    private static final long RECENT_RESPONSE = 3_000 * MILLISECOND;
    /**
     * Kept back from the timeout that is stated to a host. A router may be delayed by 0.15 s between reading the clock
     * and writing, which is all of the slack that the protocol gives; further delays on a shared core are covered here.
     */
    private static final long TIMEOUT_MARGIN = 50 * MILLISECOND;
    /** At most this fraction (one in so many) of the remaining time is kept back. */
    private static final int MARGIN_DIVISOR = 4;

    /**
     * When the SLA time ends, counted from the client's first try. First tries of a type bring one and the same budget;
     * any other budget is what is left of the type's expiry, so the difference has already gone by. Guards against
     * serving retries that can earn nothing while fresh requests wait; errs on the side of serving. Where clients mark
     * their retries, what isn't marked is a first try; where they don't, budgets under the SLA time that are more
     * frequent than retries scatter are of clients that come with little time.
     */
    long slaEndNanos(Request request) {
        long budget = request.expiryNanos - request.arrivedNanos;
        SampleWindow budgets = request.requestClass.budgets();
        budgets.add(budget, 0, request.arrivedNanos);
        // Eight samples distinguish a cluster from scatter; arrivals are read once a tick, so equal budgets spread
        // by one.
        long first = budgets.densestMiddle(8 * MILLISECOND);
        boolean marked = traffic.settings.clientsMarkRetries();
        boolean usual = budgets.size() < 8 || Math.abs(budget - first) <= 8 * MILLISECOND;
        long sla = request.requestClass.slaNanos();
        boolean hurried = budget < sla
                && budgets.countBetween(0, sla) * (first - sla)
                        > 2 * budgets.countBetween(sla, first - 8 * MILLISECOND) * sla;
        boolean firstTry = marked ? !request.retriedByClient : usual || hurried;
        long gone = firstTry
                ? 0
                : usual
                        ? (long) (sla * traffic.disconnectWaits.mean() / 1_000)
                        : Math.max(0, request.requestClass.timeoutNanos() - budget);
        return Math.min(request.arrivedNanos + sla - gone, request.expiryNanos);
    }

    /**
     * The latency objective in nanoseconds: the SLA time, or, where many clients disconnect sooner, how long they have
     * waited lately.
     */
    double latencyObjectiveNanos(Request request, long now) {
        long since = now - 10_000 * MILLISECOND;
        // A client now and then leaves on any day; three of ten in ten seconds are a habit.
        return traffic.disconnectWaits.countSince(since) >= Math.max(2, 0.3 * traffic.commits.countSince(since))
                ? request.requestClass.slaNanos() * Math.min(1, traffic.disconnectWaits.mean(since) / 1_000)
                : request.requestClass.slaNanos();
    }

    /**
     * When a queued read may go to the primary: the design's default, one SLA time before its expiry, or earlier where
     * the primary's answer would else come too late. One and a half usual times cover two answers in three. A round
     * before its last use at the latest, where slower replicas set that use before the primary's answer: a release
     * after it would never come.
     */
    long primaryFallbackNanos(Request request) {
        Host primary = request.group.primary;
        long answer = primary == null || request.group.responseTimes.size() == 0
                ? 0
                : outliers.typicalResponseNanos(primary) * 3 / 2;
        return Math.min(
                Math.min(request.expiryNanos - request.requestClass.slaNanos(), request.slaEndNanos - answer),
                latestUsefulSendNanos(request) - roundNanos());
    }

    /**
     * From here on a request that is not in flight does not repay its work: three in five answers would come too late.
     * A late answer that earns a quarter or less is no reason to send, since a fresh request earns more by the same
     * work. Guards against overload fed by work for nothing.
     */
    long latestUsefulSendNanos(Request request) {
        if (request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            return latestSafeSendNanos(request);
        }
        long end = request.requestClass.lateShare() > 0.25 ? request.expiryNanos : request.slaEndNanos;
        return Math.min(end - request.group.responseTimes.quantile(0.4), responseDeadlineNanos(request));
    }

    /**
     * What must not run twice and runs into its time ends as one that may have run, which is worse than a refusal. So
     * the primary's newest answer counts too, where it is recent: a host that has just become slow shows in no quantile
     * yet. The answer has to be here by the last moment, not by the expiry.
     */
    private long latestSafeSendNanos(Request request) {
        Host primary = request.group.primary;
        boolean recent = primary != null && primary.newestResponseAtNanos >= request.arrivedNanos - RECENT_RESPONSE;
        long answer =
                Math.max(recent ? primary.newestResponseDurationNanos : 0, request.group.responseTimes.quantile(0.4));
        // Past the stated timeout a host may drop the write silently.
        long last = answer == 0 ? responseDeadlineNanos(request) : responseDeadlineNanos(request) - TIMEOUT_MARGIN;
        return (request.requestClass.lateShare() > 0.25 ? last : Math.min(request.slaEndNanos, last)) - answer;
    }

    /**
     * A request that lives by the primary, never sent, is timed out at half of its time where that is long lost, so
     * that its client may try again: an outage of T so far ends within r with chance r / (T + r), and at under three in
     * ten a late answer does not repay the wait. Harm: an outage's end finds fewer of them here.
     */
    boolean isPrimaryOutageTooLong(Request request, long now) {
        Host primary = request.group.primary;
        boolean lost = primary == null || !primary.contacted || outliers.isSuspect(primary, now);
        long since = primary == null ? request.group.primaryLostNanos : primary.lastResponseNanos;
        return lost
                && since != UNSET
                && request.requestClass.consistency().dependsOnPrimary()
                && request.attempts.isEmpty()
                && now >= halfTimeNanos(request)
                && now - since > 2.3 * (latestUsefulSendNanos(request) - now);
    }

    private long halfTimeNanos(Request request) {
        return (request.arrivedNanos + responseDeadlineNanos(request)) / 2;
    }

    /** How long an attempt may take; late answers without any weight are not waited for. */
    long attemptTimeoutNanos(Request request, long now) {
        boolean late =
                request.requestClass.lateShare() > 0 || request.requestClass.idempotency() != Idempotency.IDEMPOTENT;
        return (late ? responseDeadlineNanos(request) : Math.min(request.slaEndNanos, responseDeadlineNanos(request)))
                - now;
    }

    /** The timeout to state to a host when an attempt has this much time left, in nanoseconds. */
    long advertisedTimeoutNanos(long remainingNanos) {
        return remainingNanos - Math.min(TIMEOUT_MARGIN, remainingNanos / MARGIN_DIVISOR);
    }

    private long roundNanos() {
        return traffic.settings.roundNanos();
    }

    /** Two ticks (10 ms) before the expiry: on a busy core timers and threads were seen 7 ms late at most. */
    private long responseDeadlineNanos(Request request) {
        return request.expiryNanos - 2 * roundNanos();
    }

    long nextWakeupNanos(Request request, long now) {
        long look = latestUsefulSendNanos(request);
        for (long moment : new long[] {primaryFallbackNanos(request), halfTimeNanos(request)}) {
            look = now < moment ? Math.min(look, moment) : look;
        }
        // Draws for suspect hosts and the budget of warming-up ones change with time alone.
        long soon = request.probeNeed == Request.ProbeNeed.NONE ? 100 * MILLISECOND : OutlierDetector.PROBE_TIMEOUT;
        return Math.max(now + 5 * MILLISECOND, Math.min(look, now + soon));
    }
}
