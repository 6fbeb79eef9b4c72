package beaconladder.serve;

import beaconladder.fleet.Submission;
import beaconladder.fleet.Txn;
import beaconladder.pg.Outbox;
import java.util.concurrent.LinkedBlockingQueue;

/** A txn in hand: what the desk tells the task that sees it through. */
final class Hand {

    /** What there is to do. */
    enum Kind { SEND, CANCEL, COMMITTED, DECLINED, ROLLED_BACK, LEFT }

    /**
     * One thing to do.
     *
     * @param submission for SEND and CANCEL
     * @param nanos      for SEND how long it may take, for DECLINED how long the client should stay away
     * @param answer     for COMMITTED: the host's messages
     */
    record Order(Kind kind, Submission submission, long nanos, Outbox answer) {
    }

    final Txn txn;
    private final LinkedBlockingQueue<Order> orders = new LinkedBlockingQueue<>();

    Hand(Txn txn) {
        this.txn = txn;
    }

    void tell(Kind kind, Submission submission, long nanos, Outbox answer) {
        orders.add(new Order(kind, submission, nanos, answer));
    }

    /** What there is to do by now, or null. */
    Order poll() {
        return orders.poll();
    }

    Order take() throws InterruptedException {
        return orders.take();
    }
}
