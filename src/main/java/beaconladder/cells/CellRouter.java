package beaconladder.cells;

import beaconladder.routing.api.DelegatingRouter;
import beaconladder.routing.api.DispatchCheck;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Request;

/**
 * The decisions within cells: each question is asked of the module as ever, unless the txn may no longer go where it
 * was let in; then it is displaced before anything more is sent for it.
 */
public final class CellRouter extends DelegatingRouter {
    private final CellAdmission gate;

    public CellRouter(Router inner, CellAdmission gate) {
        super(inner);
        this.gate = gate;
    }

    @Override
    public RoutingDecision place(Request txn, long now) {
        return gate.stands(txn, now) ? inner.place(txn, now) : inner.displaced(txn, now);
    }

    @Override
    public DispatchCheck mayGo(Attempt submission, long now) {
        return gate.stands(submission.txn, now) ? inner.mayGo(submission, now) : DispatchCheck.NOT_ADMITTED;
    }

    @Override
    public RoutingDecision after(Attempt s, Outcome outcome, boolean settled, Word answer, Word report, long now) {
        gate.ended(s, outcome, answer, now);
        if (settled || s.txn.ended || gate.stands(s.txn, now)) {
            return inner.after(s, outcome, settled, answer, report, now);
        }
        // The outcome is learnt from as ever, as that of a txn that has ended: nothing more is sent for it.
        s.txn.ended = true;
        inner.after(s, outcome, false, answer, report, now);
        s.txn.ended = false;
        return inner.displaced(s.txn, now);
    }
}
