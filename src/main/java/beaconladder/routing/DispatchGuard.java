package beaconladder.routing;

import beaconladder.routing.api.DispatchCheck;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;

/**
 * The one guard of each send. Between the decision and the bytes lie a connection (250 ms) or a wait for a descriptor
 * (up to the expiry), so that all that a decision rests on is looked at again.
 */
record DispatchGuard(RetryGuard retries, ReadPositions readPositions) {
    DispatchCheck check(Attempt attempt, long now) {
        Request request = attempt.request;
        Host host = attempt.host;
        if (request.ended) {
            return DispatchCheck.REQUEST_ENDED;
        }
        if (now >= request.expiryNanos) {
            return DispatchCheck.EXPIRED;
        }
        if (host.state != Host.State.READY) {
            return DispatchCheck.HOST_LEAVING;
        }
        if (host.launchedNanos != attempt.hostLaunchedNanos) {
            return DispatchCheck.HOST_RESTARTED;
        }
        if (!retries.allows(request, attempt, now)) {
            return DispatchCheck.MAY_HAVE_RUN;
        }
        if (host == host.group.primary) {
            return DispatchCheck.ALLOWED;
        }
        if (request.requestClass.consistency().requiresPrimary()) {
            return DispatchCheck.NOT_PRIMARY;
        }
        return host.position >= readPositions.requiredPosition(request, now)
                ? DispatchCheck.ALLOWED
                : DispatchCheck.POSITION_BEHIND;
    }
}
