package beaconladder.routing;

import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.RequestClass.Idempotency;
import beaconladder.routing.state.TrafficStatistics;
import java.util.List;

/** Limits the attempts of a request and decides how it ends without a commit. */
record RetryPolicy(TrafficStatistics traffic, DeadlinePolicy deadlines) {
    /** How many attempts a request of negligible weight may have. */
    private static final int MIN_ATTEMPTS_LIMIT = 2;
    /** How many attempts more a request of the highest weight may have. */
    private static final int EXTRA_ATTEMPTS = 3;

    /** Returns why this request, which has no attempt in flight, may have no further one; NONE if it may. */
    RoutingDecision.Reason endReason(Request request, long now) {
        if (request.attempts.size() - request.localFaults >= maxAttempts(request)) {
            return RoutingDecision.Reason.ATTEMPTS_USED;
        }
        if (now >= deadlines.latestUsefulSendNanos(request)) {
            return RoutingDecision.Reason.NO_TIME;
        }
        return deadlines.isPrimaryOutageTooLong(request, now)
                ? RoutingDecision.Reason.PRIMARY_LOST
                : RoutingDecision.Reason.NONE;
    }

    /** Returns the number of attempts allowed: one retry for the lowest weight, four for the highest. */
    int maxAttempts(Request request) {
        int limit = traffic.settings.maxAttempts();
        return Math.min(
                limit,
                MIN_ATTEMPTS_LIMIT
                        + (int) Math.round(EXTRA_ATTEMPTS * request.requestClass.weight() / traffic.maxWeight));
    }

    /** Ends this request: by a rejection, or, if it may have run and a retry is not safe, by a rollback. */
    RoutingDecision endWithoutCommit(Request request, RoutingDecision.Reason reason, long now) {
        traffic.recordSlaResult(request, false);
        traffic.recordFailure(request, now);
        Attempt possiblyExecuted = request.firstPossiblyExecuted();
        Idempotency idempotency = request.requestClass.idempotency();
        if (possiblyExecuted == null
                || idempotency == Idempotency.IDEMPOTENT
                || idempotency == Idempotency.WITH_KEY
                        && request.requestClass.deduplicationScope() == RequestClass.DeduplicationScope.ALL) {
            long retryAfterNanos = Math.min(traffic.settings.maxRetryAfterNanos(), request.requestClass.slaNanos());
            return RoutingDecision.reject(retryAfterNanos, reason);
        }
        return RoutingDecision.rollBack(reason);
    }

    /** Returns the attempts still in flight when the request ends, if they may be cancelled. */
    List<Attempt> attemptsToCancel(Request request) {
        return traffic.settings.cancelAllowed()
                ? request.attempts.stream().filter(attempt -> !attempt.ended).toList()
                : List.of();
    }
}
