package beaconladder.routing;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Request;

/** Guards every retry: a request that may have run is sent again only where that is safe. */
record RetryGuard() {
    /**
     * Whether this attempt may be sent, or, if it is null, whether a further attempt may be decided. For a request with
     * an idempotency key, the key's TTL counts from the decision on the first attempt that may have run, which is no
     * later than the time it ran.
     */
    boolean allows(Request request, Attempt attempt, long now) {
        Attempt possiblyExecuted = request.firstPossiblyExecutedExcept(attempt);
        return possiblyExecuted == null
                || switch (request.requestClass.idempotency()) {
                    case IDEMPOTENT -> true;
                    case WITH_KEY -> now - possiblyExecuted.sentNanos < request.requestClass.keyTtlNanos();
                    case NON_IDEMPOTENT -> false;
                };
    }
}
