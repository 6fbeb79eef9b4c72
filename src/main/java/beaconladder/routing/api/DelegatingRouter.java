package beaconladder.routing.api;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;

/** Delegates every call to another router; subclasses override the decisions that they restrict. */
public abstract class DelegatingRouter implements Router {
    protected final Router inner;

    protected DelegatingRouter(Router inner) {
        this.inner = inner;
    }

    @Override
    public RequestClass requestClass(int index) {
        return inner.requestClass(index);
    }

    @Override
    public RoutingDecision route(Request request, long now) {
        return inner.route(request, now);
    }

    @Override
    public DispatchCheck checkDispatch(Attempt attempt, long now) {
        return inner.checkDispatch(attempt, now);
    }

    @Override
    public long advertisedTimeoutNanos(long remainingNanos) {
        return inner.advertisedTimeoutNanos(remainingNanos);
    }

    @Override
    public long idReservedUntilNanos(Request request, long now) {
        return inner.idReservedUntilNanos(request, now);
    }

    @Override
    public long maxIdleNanos() {
        return inner.maxIdleNanos();
    }

    @Override
    public RoutingDecision onAttemptEnded(
            Attempt attempt, Outcome outcome, boolean settled, HostReport answer, HostReport report, long now) {
        return inner.onAttemptEnded(attempt, outcome, settled, answer, report, now);
    }

    @Override
    public NextWakeup nextWakeup(long now) {
        return inner.nextWakeup(now);
    }

    @Override
    public void updateHost(Host host, boolean listedAsPrimary, Host.State state, long launchedNanos, long now) {
        inner.updateHost(host, listedAsPrimary, state, launchedNanos, now);
    }

    @Override
    public boolean removeHost(Host host, long now) {
        return inner.removeHost(host, now);
    }

    @Override
    public void onHealthCheckEnded(Host host, Outcome outcome, HostReport report, long now) {
        inner.onHealthCheckEnded(host, outcome, report, now);
    }

    @Override
    public RoutingDecision onClientDisconnected(Request request, long now) {
        return inner.onClientDisconnected(request, now);
    }

    @Override
    public RoutingDecision onAdmissionLost(Request request, long now) {
        return inner.onAdmissionLost(request, now);
    }
}
