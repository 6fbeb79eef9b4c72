package beaconladder.cells;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Proposes a placement and the migrations to get there: balanced load, balanced value at risk, chosen tenants apart,
 * spare capacity for the loss of any one cell, and few migrations. It proposes only; the coordinator migrates.
 */
public final class PlacementPlanner {
    private PlacementPlanner() {}

    /**
     * Proposes migrations; the same problem and seed give the same proposal wherever the solver stops before its time.
     *
     * @param maxMigrations the most to propose
     * @param maxSeconds the most that the solver may run
     */
    public static PlacementProposal propose(PlacementProblem problem, int maxMigrations, int maxSeconds, long seed) {
        int[] best = GreedyPlacement.search(problem, maxMigrations);
        if (Arrays.stream(best).anyMatch(problem::isLost)) {
            // So few migrations can't empty the lost cell.
            return PlacementProposal.notFound(problem, best, order(problem, best));
        }
        boolean optimal = false;
        int[] freeTenants = PlacementSolver.selectFreeTenants(problem);
        if (freeTenants.length > 0 && maxMigrations > 0) {
            PlacementSolver.Result result =
                    new PlacementSolver(problem, best, freeTenants, maxMigrations).solve(maxSeconds, seed);
            optimal = result.optimal() && freeTenants.length == problem.tenantCount();
            best = PlacementCost.of(problem, result.placement()) < PlacementCost.of(problem, best)
                    ? result.placement()
                    : best;
        }
        return PlacementProposal.found(problem, best, order(problem, best), optimal);
    }

    /** Each next migration leads to the lowest cost, so that stopping half way leaves the least to regain. */
    private static List<ProposedMigration> order(PlacementProblem problem, int[] target) {
        List<ProposedMigration> migrations = new ArrayList<>();
        int[] placement = problem.currentCell().clone();
        for (int tenant = cheapestNext(problem, placement, target);
                tenant >= 0;
                tenant = cheapestNext(problem, placement, target)) {
            migrations.add(new ProposedMigration(
                    problem.tenants().get(tenant),
                    problem.cells().get(placement[tenant]),
                    problem.cells().get(target[tenant])));
            placement[tenant] = target[tenant];
        }
        return migrations;
    }

    /** The tenant whose migration leads to the lowest cost, or -1 if all are at their target. */
    private static int cheapestNext(PlacementProblem problem, int[] placement, int[] target) {
        int cheapest = -1;
        int lowestCost = Integer.MAX_VALUE;
        for (int tenant = 0; tenant < placement.length; tenant++) {
            if (placement[tenant] == target[tenant]) {
                continue;
            }
            int original = placement[tenant];
            placement[tenant] = target[tenant];
            int cost = PlacementCost.of(problem, placement);
            placement[tenant] = original;
            if (cost < lowestCost) {
                lowestCost = cost;
                cheapest = tenant;
            }
        }
        return cheapest;
    }
}
