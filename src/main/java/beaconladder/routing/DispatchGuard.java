package beaconladder.routing;

import beaconladder.routing.api.DispatchCheck;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;

/**
 * Checks each attempt right before it is sent. Between the decision and the send there may be a connect (250 ms) or a
 * wait for a file descriptor (up to the expiry), so all conditions of the decision are checked again.
 */
record DispatchGuard(RetryGuard retryGuard, ReadPositions readPositions) {
    /** Returns whether this attempt may still be sent, or the first reason why not. */
    DispatchCheck check(Attempt attempt, long now) {
        Request request = attempt.request;
        Host host = attempt.host;
        if (request.ended || request.clientDisconnected) {
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
        if (!retryGuard.allows(request, attempt, now)) {
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
