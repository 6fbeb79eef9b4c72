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
    /** Why this request, which has no attempt in flight, gets no further one; NONE if it may. */
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

    /** Retries by priority weight: one for the lowest weight, four for the highest. */
    int maxAttempts(Request request) {
        int limit = traffic.settings.maxAttempts();
        return Math.min(limit, 2 + (int) Math.round(3 * request.requestClass.weight() / traffic.maxWeight));
    }

    RoutingDecision endWithoutCommit(Request request, RoutingDecision.Reason reason, long now) {
        traffic.recordSlaResult(request, false);
        traffic.recordFailure(request, now);
        Attempt possiblyExecuted = request.firstPossiblyExecuted();
        Idempotency effect = request.requestClass.idempotency();
        if (possiblyExecuted == null
                || effect == Idempotency.IDEMPOTENT
                || effect == Idempotency.WITH_KEY
                        && request.requestClass.deduplicationScope() == RequestClass.DeduplicationScope.ALL) {
            long retryAfterNanos = Math.min(traffic.settings.maxRetryAfterNanos(), request.requestClass.slaNanos());
            return RoutingDecision.reject(retryAfterNanos, reason);
        }
        return RoutingDecision.rollBack(reason);
    }

    /** The attempts still in flight once the final answer has arrived. */
    List<Attempt> attemptsToCancel(Request request) {
        return traffic.settings.cancelAllowed()
                ? request.attempts.stream().filter(attempt -> !attempt.ended).toList()
                : List.of();
    }
}
