package beaconladder.cells;

import beaconladder.plan.Plan;
import java.util.ArrayList;
import java.util.List;

/**
 * The placement by which one router acts: the plan's, and for tenants that may be migrated the table that the
 * coordinator granted it last. Times are in nanoseconds on the router's clock. Not thread-safe.
 */
final class RouterPlacement {
    private StaticPlacement staticPlacement;
    /** Whether a coordinator grants placements; otherwise the plan alone decides. */
    private boolean coordinated;

    private PlacementTable granted = PlacementTable.NONE;
    /** Whether this router's plan places tenants by hash as the coordinator's does. */
    private boolean planMatches;

    RouterPlacement(StaticPlacement staticPlacement) {
        replacePlan(staticPlacement);
    }

    void replacePlan(StaticPlacement next) {
        staticPlacement = next;
        coordinated = next.plan().coordinator() != null;
        planMatches = next.fingerprint().equals(granted.planFingerprint());
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

    /** Whether this tenant is never migrated, so that the plan alone decides and no lease is needed. */
    boolean isFixed(String tenant) {
        Plan.Tenant declared = staticPlacement.tenant(tenant);
        return !coordinated || declared != null && declared.fixed();
    }

    boolean isLeaseOver(long nowNanos) {
        return nowNanos >= granted.validUntilNanos() - CellAdmission.MAX_CLOCK_SKEW_NANOS;
    }

    /** Whether the cell of this tenant depends on a hash that the coordinator, by its plan, would compute otherwise. */
    boolean isHashedByDifferentPlan(String tenant) {
        return !granted.placements().containsKey(tenant) && !planMatches;
    }

    /** The cell for a tenant and session, or -1 if no cell serves the tenant. */
    int cellFor(String tenant, long sessionKey) {
        TenantPlacement placement = granted.placements().get(tenant);
        return placement == null || isFixed(tenant)
                ? staticPlacement.homeCell(tenant, sessionKey)
                : staticPlacement.cellIndex(placement.cell());
    }

    /** Whether the tenant is still placed in the cell for which the request was admitted; false if it has no entry. */
    boolean isPlacedInCellOf(AdmissionPermit permit) {
        TenantPlacement placement = granted.placements().get(permit.tenant);
        return placement != null && staticPlacement.cellIndex(placement.cell()) == permit.cellIndex;
    }

    /** Whether a request with this permit may be sent to its cell now. */
    boolean accepts(AdmissionPermit permit, long nowNanos) {
        if (isFixed(permit.tenant)) {
            return true;
        }
        if (isLeaseOver(nowNanos)) {
            return false;
        }
        TenantPlacement placement = granted.placements().get(permit.tenant);
        return placement == null
                || isPlacedInCellOf(permit) && (permit.write ? placement.admitsWrites() : placement.admitsReads());
    }

    /** The floor for a request with this permit, or Long.MIN_VALUE for none. */
    long floor(AdmissionPermit permit) {
        TenantPlacement placement = granted.placements().get(permit.tenant);
        return placement == null ? Long.MIN_VALUE : placement.floor(permit.slot);
    }

    boolean isMigrating(String tenant) {
        TenantPlacement placement = granted.placements().get(tenant);
        return placement != null && placement.migrating();
    }

    /** Applies a granted table; false if it is older, or the same with no longer lease, and changes nothing. */
    boolean apply(PlacementTable next) {
        if (next.version() < granted.version()
                || next.version() == granted.version() && next.validUntilNanos() <= granted.validUntilNanos()) {
            return false;
        }
        granted = next;
        planMatches = staticPlacement.fingerprint().equals(next.planFingerprint());
        return true;
    }

    /** The groups that serve tenants today whose placement changes with this table. */
    List<Integer> groupsChangedBy(PlacementTable next) {
        List<Integer> groups = new ArrayList<>();
        if (next.version() > granted.version()) {
            next.placements().forEach((tenant, after) -> {
                TenantPlacement before = granted.placements().get(tenant);
                if (before != null && !before.equals(after)) {
                    groups.addAll(staticPlacement.groupsOf(before.cell()));
                }
            });
        }
        return groups;
    }
}
