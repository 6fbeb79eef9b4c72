package beaconladder.routing;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Request;

/** Guards every retry: an attempt that may have run is repeated only where that is safe. */
record RetryGuard() {
    /**
     * Whether this attempt may go, or, without one, a further attempt may be decided. A referenced request is judged by
     * when its first attempt that may have run was decided, which is no later than when it ran.
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
