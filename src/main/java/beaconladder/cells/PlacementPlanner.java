package beaconladder.cells;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Proposes a placement and the migrations that lead to it. The goals are balanced load, balanced value at risk,
 * separated pairs of tenants, and few migrations; the proposal also states whether there is spare capacity for the loss
 * of any one cell. It only proposes; the coordinator carries out migrations.
 */
public final class PlacementPlanner {
    private PlacementPlanner() {}

    /**
     * Proposes migrations. The same problem and seed give the same proposal unless the solver reaches its time limit.
     *
     * @param maxMigrations upper bound on the number of migrations
     * @param maxSeconds upper bound on the time of the solver
     */
    public static PlacementProposal propose(PlacementProblem problem, int maxMigrations, int maxSeconds, long seed) {
        int[] best = GreedyPlacement.search(problem, maxMigrations);
        if (Arrays.stream(best).anyMatch(problem::isLost)) {
            // The lost cell can't be emptied with this number of migrations.
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

    /** Orders the migrations so that each leads to the lowest cost at that point, in case not all are carried out. */
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

    /** Returns the tenant whose migration leads to the lowest cost, or -1 if all are in their target cells. */
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
