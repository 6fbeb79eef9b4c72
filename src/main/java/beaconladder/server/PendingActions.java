package beaconladder.server;

import beaconladder.cells.CellAdmission;
import beaconladder.routing.api.DecisionLoop;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Carries out decisions under the dispatcher's lock: commands are passed to the requests' tasks at once, and actions on
 * connections to hosts are collected until the lock is released.
 */
final class PendingActions implements DecisionLoop.ActionHandler {
    private final RequestDispatcher dispatcher;
    private final CellAdmission admission;
    private final EventTrace trace;
    private final Monitor monitor;
    /** Requests whose missed deadline has been counted. */
    private final Set<Request> overdueRequests = new HashSet<>();

    private final Map<Request, InFlightRequest> inFlightRequests = new HashMap<>();
    /** Actions to run once the lock is released. */
    private final List<Consumer<HostActions>> hostActions = new ArrayList<>();

    PendingActions(RequestDispatcher dispatcher, CellAdmission admission, EventTrace trace, Monitor monitor) {
        this.monitor = monitor;
        this.dispatcher = dispatcher;
        this.admission = admission;
        this.trace = trace;
    }

    void add(InFlightRequest inFlight) {
        inFlightRequests.put(inFlight.request, inFlight);
        inFlight.request.clientRequests.inFlight++;
    }

    /** The request in flight with this routing state, or null where it has ended. */
    InFlightRequest find(Request request) {
        return inFlightRequests.get(request);
    }

    int size() {
        return inFlightRequests.size();
    }

    /** Counts each request that has passed its deadline without an answer; each is counted once. */
    void checkOverdue(long now) {
        for (Request request : inFlightRequests.keySet()) {
            if (!overdueRequests.contains(request) && monitor.invariants().countIfOverdue(request, now)) {
                overdueRequests.add(request);
            }
        }
    }

    /** Removes and returns the actions to run once the lock is released. */
    List<Consumer<HostActions>> drainHostActions() {
        if (hostActions.isEmpty()) {
            return List.of();
        }
        List<Consumer<HostActions>> actions = List.copyOf(hostActions);
        hostActions.clear();
        return actions;
    }

    @Override
    public void send(Attempt attempt, long timeoutNanos) {
        InFlightRequest inFlight = inFlightRequests.get(attempt.request);
        trace.attemptSent(attempt, timeoutNanos);
        InFlightRequest.Command command = InFlightRequest.Command.send(attempt, attempt.sentNanos + timeoutNanos);
        if (!inFlight.enqueue(command)) {
            hostActions.add(actions -> actions.start(inFlight, command));
        }
    }

    @Override
    public void cancel(Attempt attempt) {
        hostActions.add(actions -> actions.cancel(attempt));
    }

    @Override
    public void reject(Request request, long retryAfterNanos, RoutingDecision.Reason reason) {
        trace.requestEvent(request, "decline " + reason, dispatcher.nowNanos());
        monitor.counters().add("refused", reason);
        monitor.invariants().checkRejection(request);
        inFlightRequests.get(request).enqueue(InFlightRequest.Command.rejected(retryAfterNanos));
    }

    @Override
    public void rollBack(Request request, RoutingDecision.Reason reason) {
        trace.requestEvent(request, "rollback " + reason, dispatcher.nowNanos());
        monitor.counters().add("rolled_back", reason);
        inFlightRequests.get(request).enqueue(InFlightRequest.Command.rolledBack());
    }

    @Override
    public void onRequestEnded(Request request) {
        trace.requestEvent(request, "over", dispatcher.nowNanos());
        trace.forget(request);
        if (inFlightRequests.remove(request) != null) {
            request.clientRequests.inFlight--;
        }
        overdueRequests.remove(request);
        if (admission != null) {
            admission.requestEnded(request);
        }
    }

    @Override
    public void probe(Host host) {
        trace.healthCheck(host);
        hostActions.add(actions -> actions.probe(host));
    }

    @Override
    public void closeIdleConnections(Host host) {
        hostActions.add(actions -> actions.closeIdle(host));
    }
}
