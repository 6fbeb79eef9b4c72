package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.cells.CellAdmission;
import beaconladder.cells.PlacementTable;
import beaconladder.cells.StaticPlacement;
import beaconladder.routing.state.Group;
import java.net.InetAddress;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;

/** What a router that has cells is asked beside the txns; under the desk's lock, by its clock. */
final class CellDispatcher {
    /** A txn that is held looks so often whether its client is still there. */
    private static final long LOOK_NANOS = 50_000_000;

    private final RequestDispatcher desk;
    private final CellAdmission gate;
    private final ReentrantLock lock;
    private final Condition placed;

    CellDispatcher(RequestDispatcher desk, CellAdmission gate, ReentrantLock lock) {
        this.desk = desk;
        this.gate = gate;
        this.lock = lock;
        this.placed = lock.newCondition();
    }

    /** Asks for leave for a txn; waits while it is held, as long as its client stays. */
    CellAdmission.Answer enter(
            String tenant,
            long key,
            int named,
            boolean write,
            int type,
            long size,
            InetAddress from,
            long arrived,
            long expiry,
            BooleanSupplier gone)
            throws InterruptedException {
        lock.lock();
        try {
            CellAdmission.Answer answer =
                    gate.admit(tenant, key, named, write, desk.value(type), size, from, arrived, expiry, desk.now());
            while (answer.kind() == CellAdmission.Kind.HOLD) {
                if (gone.getAsBoolean()) {
                    gate.left(answer.pass());
                    return null;
                }
                try {
                    placed.awaitNanos(Math.min(LOOK_NANOS, Math.max(1, answer.until() - desk.now())));
                } catch (InterruptedException e) {
                    gate.left(answer.pass());
                    throw e;
                }
                answer = gate.again(answer.pass(), desk.now());
            }
            return answer;
        } finally {
            lock.unlock();
        }
    }

    /** A txn that had leave is not taken in hand after all. */
    void leave(AdmissionPermit pass) {
        lock.lock();
        try {
            gate.left(pass);
        } finally {
            lock.unlock();
        }
    }

    /** Whether there is room for one more connection of this tenant. */
    boolean connected(AdmissionPermit pass) {
        lock.lock();
        try {
            return gate.connected(pass, desk.now());
        } finally {
            lock.unlock();
        }
    }

    void disconnected(AdmissionPermit pass) {
        lock.lock();
        try {
            gate.disconnected(pass);
        } finally {
            lock.unlock();
        }
    }

    /** Whether the cell of this leave holds more connections than its own. */
    boolean borrows(AdmissionPermit pass) {
        lock.lock();
        try {
            return gate.borrowsConnections(pass.cell());
        } finally {
            lock.unlock();
        }
    }

    PlacementTable placement() {
        lock.lock();
        try {
            return gate.placement();
        } finally {
            lock.unlock();
        }
    }

    List<CellAdmission.Busy> busy() {
        lock.lock();
        try {
            return gate.busy(desk.now());
        } finally {
            lock.unlock();
        }
    }

    /** The keeper's word. */
    void placed(PlacementTable placement) {
        desk.tell(now -> {
            for (int number : gate.placed(placement)) {
                Group group = desk.group(number);
                if (group != null) {
                    group.changed = true;
                }
            }
            placed.signalAll();
        });
    }

    /** Another plan; what speaks against it, or null when it counts. */
    String plan(StaticPlacement next) {
        lock.lock();
        try {
            String objection = gate.objection(next);
            if (objection == null) {
                gate.plan(next);
            }
            return objection;
        } finally {
            lock.unlock();
        }
    }
}
