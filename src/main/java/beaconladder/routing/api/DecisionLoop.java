package beaconladder.routing.api;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;

/** Executes routing decisions, in the same order in the real router and in simulations. */
public final class DecisionLoop {

    /** Carries out the actions of decisions, without deciding anything itself. */
    public interface ActionHandler {
        void send(Attempt attempt, long timeoutNanos);

        void cancel(Attempt attempt);

        void reject(Request request, long retryAfterNanos, RoutingDecision.Reason reason);

        void rollBack(Request request, RoutingDecision.Reason reason);

        /** Called when the request has its final answer or its client has disconnected. */
        void onRequestEnded(Request request);

        void probe(Host host);

        void closeIdleConnections(Host host);
    }

    private final Router router;
    private final ActionHandler handler;

    public DecisionLoop(Router router, ActionHandler handler) {
        this.router = router;
        this.handler = handler;
    }

    /** Executes a decision on this request. */
    public void execute(Request request, RoutingDecision decision, long now) {
        for (Attempt attempt : decision.attemptsToCancel()) {
            handler.cancel(attempt);
        }
        switch (decision.step()) {
            case SEND -> {
                Host host = decision.host();
                Attempt attempt = new Attempt(
                        request,
                        request.attempts.size(),
                        host,
                        now,
                        host.inFlight.size() + host.abandoned.size() + 1,
                        decision.slowStartTicket());
                request.attempts.add(attempt);
                host.inFlight.add(attempt);
                handler.send(attempt, decision.timeoutNanos());
            }
            case REJECT -> {
                handler.reject(request, decision.retryAfterNanos(), decision.reason());
                endRequest(request);
            }
            case ROLL_BACK -> {
                handler.rollBack(request, decision.reason());
                endRequest(request);
            }
            case DONE -> endRequest(request);
            case WAIT -> {}
        }
    }

    /**
     * Routes all requests that are due and starts the due probes; to be called after all events up to now are reported.
     * Returns when to call again, in nanoseconds, or {@link NextWakeup#NEVER}.
     */
    public long processDue(long now) {
        while (true) {
            NextWakeup wakeup = router.nextWakeup(now);
            wakeup.hostsToProbe().forEach(handler::probe);
            wakeup.hostsToDisconnect().forEach(handler::closeIdleConnections);
            if (wakeup.requestsToRoute().isEmpty()) {
                return wakeup.dueNanos();
            }
            for (Request request : wakeup.requestsToRoute()) {
                if (!request.ended) {
                    execute(request, router.route(request, now), now);
                }
            }
        }
    }

    private void endRequest(Request request) {
        request.ended = true;
        handler.onRequestEnded(request);
    }
}
