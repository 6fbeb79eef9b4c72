package beaconladder.serve;

import beaconladder.api.Rounds;
import beaconladder.api.Verdict;
import beaconladder.cells.Gate;
import beaconladder.fleet.Host;
import beaconladder.fleet.Submission;
import beaconladder.fleet.Txn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** What the rounds ask for, under the desk's lock: told to the txns' tasks, or kept until it is free. */
final class Orders implements Rounds.Door {
    private final Desk desk;
    private final Gate gate;
    private final Trace trace;
    private final Monitor monitor;
    /** Those whose missing answer was counted. */
    private final Set<Txn> overdue = new HashSet<>();
    /** The txns in hand. */
    private final Map<Txn, Hand> hands = new HashMap<>();
    /** What is to be done on sockets once the lock is free. */
    private final List<Consumer<Errands>> errands = new ArrayList<>();

    Orders(Desk desk, Gate gate, Trace trace, Monitor monitor) {
        this.monitor = monitor;
        this.desk = desk;
        this.gate = gate;
        this.trace = trace;
    }

    void add(Hand hand) {
        hands.put(hand.txn, hand);
    }

    /** The hand of this txn, or null. */
    Hand of(Txn txn) {
        return hands.get(txn);
    }

    int size() {
        return hands.size();
    }

    /** Counts those whose time has gone by without an answer. */
    void checkOverdue(long now) {
        for (Txn txn : hands.keySet()) {
            if (!overdue.contains(txn) && monitor.invariants().overdue(txn, now)) {
                overdue.add(txn);
            }
        }
    }

    /** Hands over what is to be done on sockets. */
    List<Consumer<Errands>> errands() {
        if (errands.isEmpty()) {
            return List.of();
        }
        List<Consumer<Errands>> then = List.copyOf(errands);
        errands.clear();
        return then;
    }

    @Override
    public void send(Submission s, long timeout) {
        Hand hand = hands.get(s.txn);
        trace.sent(s, timeout);
        Hand.Order order = new Hand.Order(Hand.Kind.SEND, s, s.sent + timeout, null);
        if (!hand.tell(order)) {
            errands.add(to -> to.start(hand, order));
        }
    }

    @Override
    public void cancel(Submission s) {
        errands.add(to -> to.cancel(s));
    }

    @Override
    public void decline(Txn txn, long comeBack, Verdict.Reason reason) {
        trace.finished(txn, "decline " + reason, desk.now());
        monitor.counters().add("refused", reason);
        monitor.invariants().refused(txn);
        hands.get(txn).tell(new Hand.Order(Hand.Kind.DECLINED, null, comeBack, null));
    }

    @Override
    public void rollBack(Txn txn, Verdict.Reason reason) {
        trace.finished(txn, "rollback " + reason, desk.now());
        monitor.counters().add("rolled_back", reason);
        hands.get(txn).tell(new Hand.Order(Hand.Kind.ROLLED_BACK, null, 0, null));
    }

    @Override
    public void ended(Txn txn) {
        trace.finished(txn, "over", desk.now());
        trace.gone(txn);
        hands.remove(txn);
        overdue.remove(txn);
        if (gate != null) {
            gate.ended(txn);
        }
    }

    @Override
    public void probe(Host host) {
        trace.probe(host);
        errands.add(to -> to.probe(host));
    }

    @Override
    public void close(Host host) {
        errands.add(to -> to.closeIdle(host));
    }
}
