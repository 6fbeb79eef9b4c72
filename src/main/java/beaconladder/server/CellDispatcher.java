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

/** Runs the operations of {@link CellAdmission} under the dispatcher's lock and with the time of its clock. */
final class CellDispatcher {
    /** The interval at which a queued request's client is checked for having disconnected. */
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
     * @param sessionKey the key of the request's session
     * @param namedGroup the number of the group that the client names
     * @param classIndex the index of its request class
     * @param bytes the length of its query
     * @param arrivedNanos when its time budget began to run
     * @param expiryNanos its deadline
     * @param isAbandoned whether the client has disconnected or has cancelled the request
     * @return the decision, or null where the request was abandoned while it was queued
     */
    AdmissionDecision admit(
            String tenant,
            long sessionKey,
            int namedGroup,
            boolean write,
            int classIndex,
            long bytes,
            InetAddress clientAddress,
            long arrivedNanos,
            long expiryNanos,
            BooleanSupplier isAbandoned)
            throws InterruptedException {
        lock.lock();
        try {
            AdmissionDecision decision = admission.admit(
                    new AdmissionRequest(
                            tenant,
                            sessionKey,
                            namedGroup,
                            write,
                            dispatcher.priorityWeight(classIndex),
                            bytes,
                            clientAddress,
                            arrivedNanos,
                            expiryNanos),
                    dispatcher.nowNanos());
            while (decision.kind() == AdmissionDecision.Kind.QUEUE) {
                if (isAbandoned.getAsBoolean()) {
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

    /** Releases the permit of a request that was admitted and is not submitted. */
    void releasePermit(AdmissionPermit permit) {
        lock.lock();
        try {
            admission.release(permit);
        } finally {
            lock.unlock();
        }
    }

    /** Counts one more connection of this permit's cell; returns false where its quota does not allow it. */
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

    /** Returns whether the cell of this permit uses more connections than its own quota. */
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

    /** The writes of the tenants that are being migrated, as they are reported to the coordinator. */
    List<WriteActivity> writeActivity() {
        lock.lock();
        try {
            return admission.writeActivity(dispatcher.nowNanos());
        } finally {
            lock.unlock();
        }
    }

    /** Applies a placement that the coordinator granted, and rechecks the queued requests. */
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

    /** Replaces the plan by a compatible one; returns null, or why the plan was not replaced. */
    String replacePlan(StaticPlacement next) {
        lock.lock();
        try {
            String incompatibility = admission.incompatibility(next);
            if (incompatibility == null) {
                admission.replacePlan(next);
            }
            return incompatibility;
        } finally {
            lock.unlock();
        }
    }
}
