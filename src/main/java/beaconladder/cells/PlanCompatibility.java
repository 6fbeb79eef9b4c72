package beaconladder.cells;

import beaconladder.plan.Plan;

/** Checks whether a running router can replace its plan by another one without a restart or a migration. */
final class PlanCompatibility {
    private PlanCompatibility() {}

    /** Returns the first reason, for an operator, why the plan can't be replaced by the next one; null if it can. */
    static String incompatibility(StaticPlacement current, StaticPlacement next) {
        String cells = cellsIncompatibility(current, next);
        if (cells != null) {
            return cells;
        }
        boolean coordinated = isCoordinated(current);
        if (isCoordinated(next) != coordinated) {
            return "a keeper was added or removed; that needs a restart";
        }
        return coordinated ? null : uncoordinatedMigration(current, next);
    }

    private static boolean isCoordinated(StaticPlacement placement) {
        return placement.plan().coordinator() != null;
    }

    private static String cellsIncompatibility(StaticPlacement current, StaticPlacement next) {
        if (next.cellCount() != current.cellCount()) {
            return "cells were added or removed; that needs a restart";
        }
        for (int i = 0; i < next.cellCount(); i++) {
            if (!next.cell(i).name().equals(current.cell(i).name())
                    || !next.cell(i).groups().equals(current.cell(i).groups())) {
                return "cell " + next.cell(i).name() + " differs in name, order or groups; that needs a restart";
            }
        }
        return null;
    }

    private static String uncoordinatedMigration(StaticPlacement current, StaticPlacement next) {
        for (Plan.Tenant tenant : next.plan().tenants()) {
            Plan.Tenant before = current.tenant(tenant.name());
            if (before != null && !before.cell().equals(tenant.cell())) {
                return tenant.name() + " changes its cell from " + before.cell() + " to " + tenant.cell()
                        + "; that is a move, and moves need a keeper";
            }
        }
        return null;
    }
}
