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

/** Admission to cells and their placement, under the dispatcher's lock and by its clock. */
final class CellDispatcher {
    /** How often a queued request checks whether its client is still connected. */
    private static final long CLIENT_CHECK_NANOS = 50_000_000;

    private final RequestDispatcher dispatcher;
    private final CellAdmission admission;
    private final ReentrantLock lock;
    private final Condition placementChanged;

    CellDispatcher(RequestDispatcher dispatcher, CellAdmission admission, ReentrantLock lock) {
        this.dispatcher = dispatcher;
        this.admission = admission;
        this.lock = lock;
        this.placementChanged = lock.newCondition();
    }

    /**
     * Admits or rejects a request; waits while it is queued.
     *
     * @param clientGone whether the client has disconnected or cancelled it: then the result is null
     */
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
            BooleanSupplier clientGone)
            throws InterruptedException {
        lock.lock();
        try {
            AdmissionDecision decision = admission.admit(
                    new AdmissionRequest(
                            tenant, key, named, write, dispatcher.priorityWeight(type), size, from, arrived, expiry),
                    dispatcher.nowNanos());
            while (decision.kind() == AdmissionDecision.Kind.QUEUE) {
                if (clientGone.getAsBoolean()) {
                    admission.release(decision.permit());
                    return null;
                }
                try {
                    placementChanged.awaitNanos(Math.min(
                            CLIENT_CHECK_NANOS, Math.max(1, decision.recheckByNanos() - dispatcher.nowNanos())));
                } catch (InterruptedException e) {
                    admission.release(decision.permit());
                    throw e;
                }
                decision = admission.recheck(decision.permit(), dispatcher.nowNanos());
            }
            return decision;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the permit of a request that is not submitted after all. */
    void releasePermit(AdmissionPermit permit) {
        lock.lock();
        try {
            admission.release(permit);
        } finally {
            lock.unlock();
        }
    }

    /** Counts one more connection of this permit's cell; false where its quota does not allow it. */
    boolean admitConnection(AdmissionPermit permit) {
        lock.lock();
        try {
            return admission.acquireConnection(permit, dispatcher.nowNanos());
        } finally {
            lock.unlock();
        }
    }

    void releaseConnection(AdmissionPermit permit) {
        lock.lock();
        try {
            admission.releaseConnection(permit);
        } finally {
            lock.unlock();
        }
    }

    /** Whether the cell of this permit uses more connections than its own quota. */
    boolean borrowsConnections(AdmissionPermit permit) {
        lock.lock();
        try {
            return admission.isBorrowingConnections(permit.cellIndex());
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
            return admission.writeActivity(dispatcher.nowNanos());
        } finally {
            lock.unlock();
        }
    }

    /** Applies a placement of the coordinator and wakes the queued requests. */
    void updatePlacement(PlacementTable placement) {
        dispatcher.applyEvent(now -> {
            for (int number : admission.applyPlacement(placement)) {
                Group group = dispatcher.group(number);
                if (group != null) {
                    group.changed = true;
                }
            }
            placementChanged.signalAll();
        });
    }

    /** Replaces the plan; returns why it can't, or null where it did. */
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
