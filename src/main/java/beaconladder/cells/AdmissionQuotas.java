package beaconladder.cells;

import beaconladder.plan.Plan;

/** The quotas of one router: separate bulkheads for requests, bytes of their statements and client connections. */
final class AdmissionQuotas {
    private final CellQuotas requests;
    private final CellQuotas connections;
    private final CellQuotas bytes;

    AdmissionQuotas(RouterCapacity capacity, Plan plan) {
        double[] quotas = cellQuotas(plan);
        requests = new CellQuotas(capacity.requests(), quotas);
        connections = new CellQuotas(capacity.connections(), quotas);
        bytes = new CellQuotas(capacity.bytes(), quotas);
    }

    private static double[] cellQuotas(Plan plan) {
        return plan.cells().stream().mapToDouble(Plan.Cell::share).toArray();
    }

    /** Replaces the quotas by those of another plan with the same cells. */
    void replacePlan(Plan plan) {
        double[] quotas = cellQuotas(plan);
        requests.updateQuotas(quotas);
        connections.updateQuotas(quotas);
        bytes.updateQuotas(quotas);
    }

    /** Acquires both one request and its bytes, or neither. */
    CellQuotas.Result tryAcquireRequest(AdmissionRequest request, int cell, double tenantQuota, long nowNanos) {
        String tenant = request.tenant();
        double priorityWeight = request.priorityWeight();
        CellQuotas.Result result = requests.tryAcquire(cell, tenant, tenantQuota, 1, priorityWeight, nowNanos);
        if (result == CellQuotas.Result.ACQUIRED) {
            result = bytes.tryAcquire(cell, tenant, tenantQuota, request.bytes(), priorityWeight, nowNanos);
            if (result != CellQuotas.Result.ACQUIRED) {
                requests.release(cell, tenant, 1);
            }
        }
        return result;
    }

    void releaseRequest(AdmissionPermit permit) {
        requests.release(permit.cellIndex, permit.tenant, 1);
        bytes.release(permit.cellIndex, permit.tenant, permit.bytes);
    }

    boolean tryAcquireConnection(AdmissionPermit permit, double tenantQuota, long nowNanos) {
        return connections.tryAcquire(permit.cellIndex, permit.tenant, tenantQuota, 1, 1, nowNanos)
                == CellQuotas.Result.ACQUIRED;
    }

    void releaseConnection(AdmissionPermit permit) {
        connections.release(permit.cellIndex, permit.tenant, 1);
    }

    boolean isBorrowingConnections(int cell) {
        return connections.isBorrowing(cell);
    }

    long inFlight(int cell) {
        return requests.used(cell);
    }
}
