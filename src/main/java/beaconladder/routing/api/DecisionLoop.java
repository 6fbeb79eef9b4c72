package beaconladder.routing.api;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;

/** Carries out what the module answers, in the same rounds at every door: the drill and the sockets. */
public final class DecisionLoop {

    /** What a door does with an answer of the module; it decides nothing. */
    public interface Door {
        void send(Attempt submission, long timeout);

        void cancel(Attempt submission);

        void decline(Request txn, long comeBack, RoutingDecision.Reason reason);

        void rollBack(Request txn, RoutingDecision.Reason reason);

        /** The txn has had its final answer. */
        void ended(Request txn);

        void probe(Host host);

        void close(Host host);
    }

    private final Router router;
    private final Door door;

    public DecisionLoop(Router router, Door door) {
        this.router = router;
        this.door = door;
    }

    /** Carries out one verdict. */
    public void act(Request txn, RoutingDecision verdict, long now) {
        for (Attempt s : verdict.cancel()) {
            door.cancel(s);
        }
        switch (verdict.step()) {
            case SEND -> {
                Host host = verdict.host();
                Attempt s = new Attempt(
                        txn,
                        txn.submissions.size(),
                        host,
                        now,
                        host.out.size() + host.abandoned.size() + 1,
                        verdict.ticket());
                txn.submissions.add(s);
                host.out.add(s);
                door.send(s, verdict.timeout());
            }
            case DECLINE -> {
                door.decline(txn, verdict.comeBack(), verdict.reason());
                end(txn);
            }
            case ROLL_BACK -> {
                door.rollBack(txn, verdict.reason());
                end(txn);
            }
            case DONE -> end(txn);
            case WAIT -> {}
        }
    }

    /** All known at this time has been told: asks about the txns due; returns when to come again. */
    public long settle(long now) {
        while (true) {
            NextWakeup pause = router.pause(now);
            pause.probe().forEach(door::probe);
            pause.close().forEach(door::close);
            if (pause.again().isEmpty()) {
                return pause.until();
            }
            for (Request txn : pause.again()) {
                if (!txn.ended) {
                    act(txn, router.place(txn, now), now);
                }
            }
        }
    }

    private void end(Request txn) {
        txn.ended = true;
        door.ended(txn);
    }
}
