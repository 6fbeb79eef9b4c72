package beaconladder.cells;

import beaconladder.routing.api.DelegatingRouter;
import beaconladder.routing.api.DispatchCheck;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Request;

/**
 * A router that checks admission to cells. It delegates every decision, except for a request whose tenant is being
 * migrated to another cell or whose router's lease has expired: no further attempt of such a request is sent.
 */
public final class CellRouter extends DelegatingRouter {
    private final CellAdmission admission;

    /**
     * Wraps a router with the check of admission.
     *
     * @param inner the router that decides for requests that are still admitted
     * @param admission the admission control of the same router
     */
    public CellRouter(Router inner, CellAdmission admission) {
        super(inner);
        this.admission = admission;
    }

    @Override
    public RoutingDecision route(Request request, long now) {
        return admission.isStillAdmitted(request, now)
                ? inner.route(request, now)
                : inner.onAdmissionLost(request, now);
    }

    @Override
    public DispatchCheck checkDispatch(Attempt attempt, long now) {
        return admission.isStillAdmitted(attempt.request, now)
                ? inner.checkDispatch(attempt, now)
                : DispatchCheck.NOT_ADMITTED;
    }

    @Override
    public RoutingDecision onAttemptEnded(
            Attempt attempt, Outcome outcome, boolean settled, HostReport answer, HostReport report, long now) {
        admission.attemptEnded(attempt, outcome, answer, now);
        Request request = attempt.request;
        if (settled || request.ended || admission.isStillAdmitted(request, now)) {
            return inner.onAttemptEnded(attempt, outcome, settled, answer, report, now);
        }
        // The inner router still records the outcome. The request is marked as ended so that nothing more is sent.
        request.ended = true;
        inner.onAttemptEnded(attempt, outcome, false, answer, report, now);
        request.ended = false;
        return inner.onAdmissionLost(request, now);
    }
}
