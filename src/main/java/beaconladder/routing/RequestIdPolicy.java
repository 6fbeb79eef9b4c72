package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MILLISECOND;

import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass.Idempotency;

/**
 * Decides how long the id of a request that has ended is not accepted again. Its client may have disconnected without
 * the answer while a host runs the request, or still may run it; the same id on another connection would run it twice.
 */
final class RequestIdPolicy {
    /** The tolerances of deadlines: a host may be told 150 ms more than is left, and is 50 ms late itself. */
    private static final long DEADLINE_TOLERANCE_NANOS = 200 * MILLISECOND;
    /** How long the id of a request that must not run twice is kept after its deadline. */
    private static final long SINGLE_USE_NANOS = 60_000 * MILLISECOND;

    /** Returns until when the id is not accepted again; the current time if it may be used at once. */
    long reservedUntilNanos(Request request, long now) {
        boolean answered = request.disconnectedNanos == Long.MAX_VALUE;
        if (answered || request.firstPossiblyExecuted() == null) {
            return now;
        }
        long deadlineNanos = Math.max(now, request.expiryNanos + DEADLINE_TOLERANCE_NANOS);
        return request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                ? deadlineNanos
                : deadlineNanos + SINGLE_USE_NANOS;
    }
}
