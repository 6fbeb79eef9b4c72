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

/** What the rounds ask for, under the desk's lock: told to the txns' tasks, or kept until it is free. */
final class PendingActions implements DecisionLoop.ActionHandler {
    private final RequestDispatcher desk;
    private final CellAdmission gate;
    private final EventTrace trace;
    private final Monitor monitor;
    /** Those whose missing answer was counted. */
    private final Set<Request> overdue = new HashSet<>();
    /** The txns in hand. */
    private final Map<Request, InFlightRequest> hands = new HashMap<>();
    /** What is to be done on sockets once the lock is free. */
    private final List<Consumer<HostActions>> errands = new ArrayList<>();

    PendingActions(RequestDispatcher desk, CellAdmission gate, EventTrace trace, Monitor monitor) {
        this.monitor = monitor;
        this.desk = desk;
        this.gate = gate;
        this.trace = trace;
    }

    void add(InFlightRequest hand) {
        hands.put(hand.request, hand);
    }

    /** The hand of this txn, or null. */
    InFlightRequest of(Request txn) {
        return hands.get(txn);
    }

    int size() {
        return hands.size();
    }

    /** Counts those whose time has gone by without an answer. */
    void checkOverdue(long now) {
        for (Request txn : hands.keySet()) {
            if (!overdue.contains(txn) && monitor.invariants().countIfOverdue(txn, now)) {
                overdue.add(txn);
            }
        }
    }

    /** Hands over what is to be done on sockets. */
    List<Consumer<HostActions>> errands() {
        if (errands.isEmpty()) {
            return List.of();
        }
        List<Consumer<HostActions>> then = List.copyOf(errands);
        errands.clear();
        return then;
    }

    @Override
    public void send(Attempt s, long timeout) {
        InFlightRequest hand = hands.get(s.request);
        trace.attemptSent(s, timeout);
        InFlightRequest.Command command = InFlightRequest.Command.send(s, s.sentNanos + timeout);
        if (!hand.enqueue(command)) {
            errands.add(to -> to.start(hand, command));
        }
    }

    @Override
    public void cancel(Attempt s) {
        errands.add(to -> to.cancel(s));
    }

    @Override
    public void reject(Request txn, long comeBack, RoutingDecision.Reason reason) {
        trace.requestEvent(txn, "decline " + reason, desk.nowNanos());
        monitor.counters().add("refused", reason);
        monitor.invariants().checkRejection(txn);
        hands.get(txn).enqueue(InFlightRequest.Command.rejected(comeBack));
    }

    @Override
    public void rollBack(Request txn, RoutingDecision.Reason reason) {
        trace.requestEvent(txn, "rollback " + reason, desk.nowNanos());
        monitor.counters().add("rolled_back", reason);
        hands.get(txn).enqueue(InFlightRequest.Command.rolledBack());
    }

    @Override
    public void onRequestEnded(Request txn) {
        trace.requestEvent(txn, "over", desk.nowNanos());
        trace.forget(txn);
        hands.remove(txn);
        overdue.remove(txn);
        if (gate != null) {
            gate.requestEnded(txn);
        }
    }

    @Override
    public void probe(Host host) {
        trace.healthCheck(host);
        errands.add(to -> to.probe(host));
    }

    @Override
    public void closeIdleConnections(Host host) {
        errands.add(to -> to.closeIdle(host));
    }
}
