package beaconladder.routing;

import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.RequestClass.Idempotency;
import beaconladder.routing.state.TrafficStatistics;
import java.util.List;

/** How many attempts a request gets, and how it ends without a commit. */
record RetryPolicy(TrafficStatistics traffic) {
    /** Further attempts go by value: one for the least, four for the most. */
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

    /** Copies that are out when the answer is there are cancelled. */
    List<Attempt> attemptsToCancel(Request request) {
        return traffic.settings.cancelAllowed()
                ? request.attempts.stream().filter(attempt -> !attempt.ended).toList()
                : List.of();
    }
}
