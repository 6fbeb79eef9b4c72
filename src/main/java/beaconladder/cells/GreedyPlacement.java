package beaconladder.cells;

/** Greedy search: repeats the migration that lowers the cost most. It is the baseline and the start of the solver. */
public final class GreedyPlacement {
    private GreedyPlacement() {}

    /**
     * Searches from the current placement.
     *
     * @param maxMigrations upper bound on the number of migrations
     * @return the cell of each tenant
     */
    public static int[] search(PlacementProblem problem, int maxMigrations) {
        int[] placement = problem.currentCell().clone();
        for (int step = 0; step < maxMigrations; step++) {
            if (!applyBestMigration(problem, placement)) {
                break;
            }
        }
        return placement;
    }

    /** Applies the migration that lowers the cost most; returns false if none does. */
    private static boolean applyBestMigration(PlacementProblem problem, int[] placement) {
        int before = cost(problem, placement);
        int bestTenant = -1;
        int bestCell = -1;
        int bestCost = before;
        int fullest = PlacementCost.fullestCell(problem, placement);
        for (int tenant = 0; tenant < placement.length; tenant++) {
            if (!problem.movable()[tenant]
                    || placement[tenant] != fullest && !PlacementCost.violatesSeparation(problem, placement, tenant)) {
                continue;
            }
            int original = placement[tenant];
            for (int cell = 0; cell < problem.cellCount(); cell++) {
                placement[tenant] = cell;
                int cost = cell == original ? before : cost(problem, placement);
                if (cost < bestCost) {
                    bestCost = cost;
                    bestTenant = tenant;
                    bestCell = cell;
                }
            }
            placement[tenant] = original;
        }
        if (bestTenant < 0) {
            return false;
        }
        placement[bestTenant] = bestCell;
        return true;
    }

    private static int cost(PlacementProblem problem, int[] placement) {
        return PlacementCost.of(problem, placement) + PlacementCost.strandedCost(problem, placement);
    }
}
