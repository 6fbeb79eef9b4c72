package beaconladder.server;

import beaconladder.cells.AdmissionDecision;
import beaconladder.cells.AdmissionPermit;
import beaconladder.cells.AdmissionRequest;
import beaconladder.cells.CellAdmission;
import beaconladder.cells.PlacementTable;
import beaconladder.cells.StaticPlacement;
import beaconladder.cells.WriteActivity;
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
    private final CellAdmission admission;
    private final ReentrantLock lock;
    private final Condition placed;

    CellDispatcher(RequestDispatcher desk, CellAdmission admission, ReentrantLock lock) {
        this.desk = desk;
        this.admission = admission;
        this.lock = lock;
        this.placed = lock.newCondition();
    }

    /** Asks for leave for a txn; waits while it is held, as long as its client stays. */
    AdmissionDecision admit(
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
            AdmissionDecision answer = admission.admit(
                    new AdmissionRequest(
                            tenant, key, named, write, desk.priorityWeight(type), size, from, arrived, expiry),
                    desk.nowNanos());
            while (answer.kind() == AdmissionDecision.Kind.QUEUE) {
                if (gone.getAsBoolean()) {
                    admission.release(answer.permit());
                    return null;
                }
                try {
                    placed.awaitNanos(Math.min(LOOK_NANOS, Math.max(1, answer.recheckByNanos() - desk.nowNanos())));
                } catch (InterruptedException e) {
                    admission.release(answer.permit());
                    throw e;
                }
                answer = admission.recheck(answer.permit(), desk.nowNanos());
            }
            return answer;
        } finally {
            lock.unlock();
        }
    }

    /** A txn that had leave is not taken in hand after all. */
    void releasePermit(AdmissionPermit pass) {
        lock.lock();
        try {
            admission.release(pass);
        } finally {
            lock.unlock();
        }
    }

    /** Whether there is room for one more connection of this tenant. */
    boolean admitConnection(AdmissionPermit pass) {
        lock.lock();
        try {
            return admission.acquireConnection(pass, desk.nowNanos());
        } finally {
            lock.unlock();
        }
    }

    void releaseConnection(AdmissionPermit pass) {
        lock.lock();
        try {
            admission.releaseConnection(pass);
        } finally {
            lock.unlock();
        }
    }

    /** Whether the cell of this leave holds more connections than its own. */
    boolean borrowsConnections(AdmissionPermit pass) {
        lock.lock();
        try {
            return admission.isBorrowingConnections(pass.cellIndex());
        } finally {
            lock.unlock();
        }
    }

    PlacementTable placement() {
        lock.lock();
        try {
            return admission.placement();
        } finally {
            lock.unlock();
        }
    }

    List<WriteActivity> busyTenants() {
        lock.lock();
        try {
            return admission.writeActivity(desk.nowNanos());
        } finally {
            lock.unlock();
        }
    }

    /** The keeper's word. */
    void updatePlacement(PlacementTable placement) {
        desk.applyEvent(now -> {
            for (int number : admission.applyPlacement(placement)) {
                Group group = desk.group(number);
                if (group != null) {
                    group.changed = true;
                }
            }
            placed.signalAll();
        });
    }

    /** Another plan; what speaks against it, or null when it counts. */
    String replacePlan(StaticPlacement next) {
        lock.lock();
        try {
            String objection = admission.incompatibility(next);
            if (objection == null) {
                admission.replacePlan(next);
            }
            return objection;
        } finally {
            lock.unlock();
        }
    }
}
