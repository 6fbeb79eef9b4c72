package beaconladder.cells;

import beaconladder.plan.Plan;
import java.util.ArrayList;
import java.util.List;

/**
 * The placement that one router acts on: the plan's for fixed and undeclared tenants, and the table that the
 * coordinator granted last for all others. Times are in nanoseconds on the router's clock. Not thread-safe.
 */
final class RouterPlacement {
    private StaticPlacement staticPlacement;
    /** Whether a coordinator grants placements; if not, the plan alone decides. */
    private boolean coordinated;

    private PlacementTable granted = PlacementTable.NONE;
    /** Whether this router's plan places undeclared tenants in the same cells as the coordinator's plan. */
    private boolean planMatches;

    RouterPlacement(StaticPlacement staticPlacement) {
        replacePlan(staticPlacement);
    }

    void replacePlan(StaticPlacement newPlacement) {
        staticPlacement = newPlacement;
        coordinated = newPlacement.plan().coordinator() != null;
        planMatches = newPlacement.fingerprint().equals(granted.planFingerprint());
    }

    StaticPlacement staticPlacement() {
        return staticPlacement;
    }

    PlacementTable granted() {
        return granted;
    }

    boolean isCoordinated() {
        return coordinated;
    }

    /** Returns whether this tenant is never migrated, so that the plan alone decides and no lease is needed. */
    boolean isFixed(String tenant) {
        Plan.Tenant declared = staticPlacement.tenant(tenant);
        return !coordinated || declared != null && declared.fixed();
    }

    boolean isLeaseExpired(long nowNanos) {
        return nowNanos >= granted.validUntilNanos() - CellAdmission.MAX_CLOCK_SKEW_NANOS;
    }

    /** Returns whether the tenant's cell depends on a hash that could differ under the coordinator's plan. */
    boolean isHashedByDifferentPlan(String tenant) {
        return !granted.placements().containsKey(tenant) && !planMatches;
    }

    /** Returns the cell for a tenant and session, or -1 if no cell serves the tenant. */
    int cellFor(String tenant, long sessionKey) {
        TenantPlacement placement = granted.placements().get(tenant);
        return placement == null || isFixed(tenant)
                ? staticPlacement.homeCell(tenant, sessionKey)
                : staticPlacement.cellIndex(placement.cell());
    }

    /** Returns whether the tenant is still placed in the cell of this permit; false if the table has no entry. */
    boolean isPlacedInCellOf(AdmissionPermit permit) {
        TenantPlacement placement = granted.placements().get(permit.tenant);
        return placement != null && staticPlacement.cellIndex(placement.cell()) == permit.cellIndex;
    }

    /** Returns whether a request with this permit may be sent to its cell now. */
    boolean admits(AdmissionPermit permit, long nowNanos) {
        if (isFixed(permit.tenant)) {
            return true;
        }
        if (isLeaseExpired(nowNanos)) {
            return false;
        }
        TenantPlacement placement = granted.placements().get(permit.tenant);
        return placement == null
                || isPlacedInCellOf(permit) && (permit.write ? placement.admitsWrites() : placement.admitsReads());
    }

    /** Returns the floor for a request with this permit, or Long.MIN_VALUE for none. */
    long floor(AdmissionPermit permit) {
        TenantPlacement placement = granted.placements().get(permit.tenant);
        return placement == null ? Long.MIN_VALUE : placement.floor(permit.slot);
    }

    boolean isMigrating(String tenant) {
        TenantPlacement placement = granted.placements().get(tenant);
        return placement != null && placement.migrating();
    }

    /** Applies a granted table; ignores it and returns false if it is older, or the same with no longer lease. */
    boolean apply(PlacementTable newTable) {
        if (newTable.version() < granted.version()
                || newTable.version() == granted.version() && newTable.validUntilNanos() <= granted.validUntilNanos()) {
            return false;
        }
        granted = newTable;
        planMatches = staticPlacement.fingerprint().equals(newTable.planFingerprint());
        return true;
    }

    /** Returns the groups that currently serve a tenant whose placement changes with this table. */
    List<Integer> groupsChangedBy(PlacementTable newTable) {
        List<Integer> groups = new ArrayList<>();
        if (newTable.version() > granted.version()) {
            newTable.placements().forEach((tenant, after) -> {
                TenantPlacement before = granted.placements().get(tenant);
                if (before != null && !before.equals(after)) {
                    groups.addAll(staticPlacement.groupsOf(before.cell()));
                }
            });
        }
        return groups;
    }
}
