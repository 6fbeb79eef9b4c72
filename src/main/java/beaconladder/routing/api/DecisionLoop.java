package beaconladder.routing.api;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;

/** Carries out what the routing policy answers, in the same rounds at every door: the drill and the sockets. */
public final class DecisionLoop {

    /** What a door does with an answer of the routing policy; it decides nothing. */
    public interface ActionHandler {
        void send(Attempt attempt, long timeoutNanos);

        void cancel(Attempt attempt);

        void reject(Request request, long retryAfterNanos, RoutingDecision.Reason reason);

        void rollBack(Request request, RoutingDecision.Reason reason);

        /** The request has had its final answer. */
        void onRequestEnded(Request request);

        void probe(Host host);

        void closeIdleConnections(Host host);
    }

    private final Router router;
    private final ActionHandler handler;

    public DecisionLoop(Router router, ActionHandler door) {
        this.router = router;
        this.handler = door;
    }

    /** Carries out one decision. */
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

    /** All known at this time has been told: asks about the requests due; returns when to come again. */
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
