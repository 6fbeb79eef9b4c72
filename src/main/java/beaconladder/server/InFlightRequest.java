package beaconladder.server;

import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Request;
import java.util.ArrayDeque;

/** A txn in hand: what the desk tells the task that sees it through. */
final class InFlightRequest {

    /** What there is to do. */
    enum Kind {
        SEND,
        COMMITTED,
        DECLINED,
        ROLLED_BACK,
        LEFT
    }

    /**
     * One thing to do.
     *
     * @param submission for SEND
     * @param nanos for SEND when it is to be over, for DECLINED how long the client should stay away
     * @param answer for COMMITTED: the host's messages
     */
    record Order(Kind kind, Attempt submission, long nanos, MessageWriter answer) {}

    final Request txn;
    final Statement statement;
    private final ArrayDeque<Order> orders = new ArrayDeque<>();
    /** Whether the task is out with a submission, and can't start another. */
    private boolean away;

    InFlightRequest(Request txn, Statement statement) {
        this.txn = txn;
        this.statement = statement;
    }

    /** Tells the task; false for a SEND that has to be started by somebody else, as the task is away. */
    synchronized boolean tell(Order order) {
        if (order.kind() == Kind.SEND && (away || !orders.isEmpty())) {
            return false;
        }
        orders.add(order);
        notifyAll();
        return true;
    }

    /** What there is to do by now, or null. */
    synchronized Order poll() {
        away = false;
        Order order = orders.poll();
        away = order != null && order.kind() == Kind.SEND;
        return order;
    }

    synchronized Order take() throws InterruptedException {
        away = false;
        while (orders.isEmpty()) {
            wait();
        }
        return poll();
    }
}
