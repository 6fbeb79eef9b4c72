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
    public RoutingDecision route(Request txn, long now) {
        return gate.stands(txn, now) ? inner.route(txn, now) : inner.onAdmissionLost(txn, now);
    }

    @Override
    public DispatchCheck checkDispatch(Attempt submission, long now) {
        return gate.stands(submission.request, now) ? inner.checkDispatch(submission, now) : DispatchCheck.NOT_ADMITTED;
    }

    @Override
    public RoutingDecision onAttemptEnded(
            Attempt s, Outcome outcome, boolean settled, HostReport answer, HostReport report, long now) {
        gate.ended(s, outcome, answer, now);
        if (settled || s.request.ended || gate.stands(s.request, now)) {
            return inner.onAttemptEnded(s, outcome, settled, answer, report, now);
        }
        // The outcome is learnt from as ever, as that of a txn that has ended: nothing more is sent for it.
        s.request.ended = true;
        inner.onAttemptEnded(s, outcome, false, answer, report, now);
        s.request.ended = false;
        return inner.onAdmissionLost(s.request, now);
    }
}
