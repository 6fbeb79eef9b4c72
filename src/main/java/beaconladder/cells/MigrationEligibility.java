package beaconladder.cells;

import beaconladder.plan.Plan;

/** Decides whether a tenant can be migrated to a cell now. */
final class MigrationEligibility {
    private MigrationEligibility() {}

    /** Returns the reason, for an operator, why the tenant can't be migrated to this cell now, or null if it can. */
    static String rejection(MigrationState state, String tenant, String toCell) {
        Plan.Tenant declared = state.staticPlacement().tenant(tenant);
        if (declared == null) {
            return "no tenant '" + tenant + "' is stated in the plan";
        }
        if (declared.fixed()) {
            return tenant + " is fixed and can't be moved";
        }
        if (state.staticPlacement().cellIndex(toCell) < 0) {
            return "no cell '" + toCell + "' is stated in the plan";
        }
        Migration current = state.migrations().get(tenant);
        if (current != null) {
            return tenant + " is being moved to " + current.toCell + " (" + current.state() + ")";
        }
        TenantPlacement placement = state.placements().get(tenant);
        if (placement == null) {
            return tenant + " has no seat yet";
        }
        String fromCell = placement.cell();
        if (fromCell.equals(toCell)) {
            return tenant + " lives in " + toCell + " as it is";
        }
        int fromSlots = state.staticPlacement().groupsOf(fromCell).size();
        int toSlots = state.staticPlacement().groupsOf(toCell).size();
        if (fromSlots != toSlots) {
            return fromCell + " has " + fromSlots + " groups and " + toCell + " has " + toSlots
                    + "; a move needs as many";
        }
        return null;
    }
}
