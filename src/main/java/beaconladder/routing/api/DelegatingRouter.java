package beaconladder.routing.api;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;

/** Decisions within bounds: each question goes on to another router's, but for those that a bound changes. */
public abstract class DelegatingRouter implements Router {
    protected final Router inner;

    protected DelegatingRouter(Router inner) {
        this.inner = inner;
    }

    @Override
    public RequestClass type(int place) {
        return inner.type(place);
    }

    @Override
    public RoutingDecision place(Request txn, long now) {
        return inner.place(txn, now);
    }

    @Override
    public DispatchCheck mayGo(Attempt submission, long now) {
        return inner.mayGo(submission, now);
    }

    @Override
    public long toldTime(long left) {
        return inner.toldTime(left);
    }

    @Override
    public long keepIdle() {
        return inner.keepIdle();
    }

    @Override
    public RoutingDecision after(Attempt s, Outcome outcome, boolean settled, Word answer, Word report, long now) {
        return inner.after(s, outcome, settled, answer, report, now);
    }

    @Override
    public NextWakeup pause(long now) {
        return inner.pause(now);
    }

    @Override
    public void listed(Host host, boolean leader, Host.State state, long launched, long now) {
        inner.listed(host, leader, state, launched, now);
    }

    @Override
    public boolean forget(Host host, long now) {
        return inner.forget(host, now);
    }

    @Override
    public void probed(Host host, Outcome outcome, Word report, long now) {
        inner.probed(host, outcome, report, now);
    }

    @Override
    public RoutingDecision left(Request txn, long now) {
        return inner.left(txn, now);
    }

    @Override
    public RoutingDecision displaced(Request txn, long now) {
        return inner.displaced(txn, now);
    }
}
