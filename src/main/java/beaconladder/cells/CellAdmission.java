package beaconladder.cells;

import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Request;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * Admission control for requests before they are routed: selects the cell of a request, checks the quotas of the cell
 * and the tenant, and queues the request while a migration blocks its tenant. Until the request ends, it also tells
 * whether the request is still admitted. It does no I/O and reads no clock: the caller passes the time, in nanoseconds
 * on the router's clock. Not thread-safe.
 */
public final class CellAdmission {
    /** Upper bound on the difference between two machines' clocks; a lease ends this much earlier for its holder. */
    static final long MAX_CLOCK_SKEW_NANOS = 20_000_000L;
    /** A request is queued for at most half of its time: after a later rejection its client has no time to retry. */
    private static final int QUEUE_TIME_DIVISOR = 2;
    /** Retry advice: a typical request ends within this time and releases its quota. */
    private static final long RETRY_AFTER_NANOS = 100_000_000L;

    private final String router;
    /** Indices of the cells that this router serves, or null for all. */
    private List<Integer> servedCells;

    private final RouterPlacement placement;
    private final AdmissionQuotas quotas;
    private final Map<Request, AdmissionPermit> permits = new IdentityHashMap<>();
    private final InFlightWrites inFlightWrites = new InFlightWrites();

    /**
     * Creates the admission control of one router, which has no granted placement yet.
     *
     * @param router the router's name in the plan
     * @param capacity the resources that the router may use, over all cells
     */
    public CellAdmission(String router, StaticPlacement staticPlacement, RouterCapacity capacity) {
        this.router = router;
        placement = new RouterPlacement(staticPlacement);
        quotas = new AdmissionQuotas(capacity, staticPlacement.plan());
        servedCells = servedCells(staticPlacement);
    }

    /** Replaces the plan by a compatible one; requests in flight keep the quota that they have acquired. */
    public void replacePlan(StaticPlacement newPlacement) {
        placement.replacePlan(newPlacement);
        quotas.replacePlan(newPlacement.plan());
        servedCells = servedCells(newPlacement);
    }

    private List<Integer> servedCells(StaticPlacement newPlacement) {
        List<String> names = newPlacement.plan().cellsByRouter().get(router);
        return names == null
                ? null
                : names.stream().map(newPlacement::cellIndex).toList();
    }

    /** Returns the reason, for an operator, why this plan can't replace the current one, or null if it can. */
    public String incompatibility(StaticPlacement newPlacement) {
        return PlanCompatibility.incompatibility(staticPlacement(), newPlacement);
    }

    // ---- Requests -----------------------------------------------------------------------------------------

    /** Decides on a new request. The caller must release a permit in the decision when the request ends. */
    public AdmissionDecision admit(AdmissionRequest request, long nowNanos) {
        String tenant = request.tenant();
        StaticPlacement plan = staticPlacement();
        if (!plan.isClientAllowed(tenant, request.clientAddress())) {
            return AdmissionDecision.invalid("clients at this address don't speak for " + tenant);
        }
        boolean fixed = placement.isFixed(tenant);
        if (!fixed && placement.isLeaseExpired(nowNanos)) {
            return AdmissionDecision.reject("the lease on the placement is over", RETRY_AFTER_NANOS);
        }
        if (!fixed && placement.isHashedByDifferentPlan(tenant)) {
            return AdmissionDecision.reject("this router's plan differs from the keeper's", RETRY_AFTER_NANOS);
        }
        int cell = placement.cellFor(tenant, request.sessionKey());
        if (cell < 0) {
            return AdmissionDecision.invalid("no cell takes tenant " + tenant);
        }
        if (plan.cellIndexOfGroup(request.namedGroup()) < 0) {
            return AdmissionDecision.invalid("group " + request.namedGroup() + " is in no cell");
        }
        if (servedCells != null && !servedCells.contains(cell)) {
            return AdmissionDecision.reject("this router does not serve cell " + cellName(cell), 0);
        }
        CellQuotas.Result acquired = quotas.tryAcquireRequest(request, cell, plan.quotaOf(tenant), nowNanos);
        if (acquired != CellQuotas.Result.ACQUIRED) {
            return AdmissionDecision.reject(quotaRejectionReason(acquired, tenant, cell), RETRY_AFTER_NANOS);
        }
        int group = plan.groupInCell(cell, request.namedGroup());
        return recheck(new AdmissionPermit(request, cell, group, plan.slotOf(group)), nowNanos);
    }

    private String quotaRejectionReason(CellQuotas.Result limit, String tenant, int cell) {
        return switch (limit) {
            case TENANT_LIMIT -> tenant + " holds its share";
            case CELL_LIMIT -> "cell " + cellName(cell) + " holds its share";
            default -> "the router is full";
        };
    }

    private String cellName(int cell) {
        return staticPlacement().cell(cell).name();
    }

    /** Decides again on a queued request; releases its permit if the request is rejected. */
    public AdmissionDecision recheck(AdmissionPermit permit, long nowNanos) {
        if (placement.admits(permit, nowNanos)) {
            permit.floor = placement.floor(permit);
            return AdmissionDecision.admit(permit);
        }
        long queueUntilNanos = permit.arrivedNanos + (permit.expiryNanos - permit.arrivedNanos) / QUEUE_TIME_DIVISOR;
        boolean placedHere = placement.isPlacedInCellOf(permit);
        if (nowNanos < queueUntilNanos && placedHere) {
            return AdmissionDecision.queue(permit, queueUntilNanos);
        }
        quotas.releaseRequest(permit);
        return placedHere
                ? AdmissionDecision.reject(permit.tenant + " is being moved", RETRY_AFTER_NANOS)
                : AdmissionDecision.reject(permit.tenant + " has moved", 0);
    }

    /**
     * Returns the longest time that a request may be in flight, in nanoseconds. A write fence waits up to this long for
     * a write with an unknown outcome.
     */
    public long maxInFlightNanos() {
        return placement.isCoordinated()
                ? staticPlacement().plan().coordinator().requestExpiryNanos()
                : Long.MAX_VALUE;
    }

    /** Records that an admitted request is in flight from now on, and sets its minimum position to the floor. */
    public void requestStarted(Request request, AdmissionPermit permit) {
        request.minPosition = permit.floor;
        permits.put(request, permit);
        if (permit.write) {
            inFlightWrites.started(permit.tenant);
        }
    }

    /** Returns whether this request may still be sent to its cell; must also be checked right before each attempt. */
    public boolean isStillAdmitted(Request request, long nowNanos) {
        AdmissionPermit permit = permits.get(request);
        return permit == null || placement.admits(permit, nowNanos);
    }

    /** Records the end of an attempt. A write with an unknown outcome counts as in flight until its client gives up. */
    public void attemptEnded(Attempt attempt, Outcome outcome, HostReport answer, long nowNanos) {
        AdmissionPermit permit = permits.get(attempt.request);
        if (permit == null || !permit.write || !placement.isCoordinated()) {
            return;
        }
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED || outcome == Outcome.RESET) {
            inFlightWrites.outcomeUnknown(permit);
        }
        if (outcome == Outcome.COMMITTED && placement.isMigrating(permit.tenant)) {
            int slots = staticPlacement().cell(permit.cellIndex).groups().size();
            inFlightWrites.committed(
                    permit, slots, answer.position() == HostReport.NO_POSITION ? nowNanos : answer.position());
        }
    }

    /** Records the end of a request and releases its permit. */
    public void requestEnded(Request request) {
        AdmissionPermit permit = permits.remove(request);
        if (permit == null) {
            return;
        }
        if (permit.write) {
            inFlightWrites.ended(permit.tenant);
            // A disconnect of the client ends its request, but hosts may still run the attempts in flight.
            if (placement.isCoordinated() && request.attemptsInFlight() > 0) {
                inFlightWrites.outcomeUnknown(permit);
            }
        }
        quotas.releaseRequest(permit);
    }

    /** Releases the permit of a request that was admitted or queued but does not start. */
    public void release(AdmissionPermit permit) {
        quotas.releaseRequest(permit);
    }

    // ---- Client connections -------------------------------------------------------------------------------

    /** Acquires a connection for the tenant of its first request; returns false if a quota does not allow it. */
    public boolean acquireConnection(AdmissionPermit permit, long nowNanos) {
        return quotas.tryAcquireConnection(permit, staticPlacement().quotaOf(permit.tenant), nowNanos);
    }

    /** Releases the connection that was acquired with this permit. */
    public void releaseConnection(AdmissionPermit permit) {
        quotas.releaseConnection(permit);
    }

    /** Returns whether a cell holds more connections than its quota; its idle connections should be closed first. */
    public boolean isBorrowingConnections(int cellIndex) {
        return quotas.isBorrowingConnections(cellIndex);
    }

    // ---- Placements from the coordinator ------------------------------------------------------------------

    /**
     * Applies a placement; an older one, or the same version with no longer lease, is ignored.
     *
     * @return the groups whose requests must be checked again
     */
    public List<Integer> applyPlacement(PlacementTable newTable) {
        List<Integer> changedGroups = placement.groupsChangedBy(newTable);
        if (!placement.apply(newTable)) {
            return List.of();
        }
        inFlightWrites.retainMigrating(newTable.placements());
        return changedGroups;
    }

    /** Returns the last placement that the coordinator granted. */
    public PlacementTable placement() {
        return placement.granted();
    }

    /** Returns the report for the coordinator: one entry for each tenant under migration. */
    public List<WriteActivity> writeActivity(long nowNanos) {
        return inFlightWrites.report(placement.granted().placements(), nowNanos);
    }

    // ---- For monitoring and tests -------------------------------------------------------------------------

    /** Returns the number of requests of a cell that are in flight or queued. */
    public long inFlight(int cellIndex) {
        return quotas.inFlight(cellIndex);
    }

    /** Returns the placement computed from the plan alone. */
    public StaticPlacement staticPlacement() {
        return placement.staticPlacement();
    }
}
