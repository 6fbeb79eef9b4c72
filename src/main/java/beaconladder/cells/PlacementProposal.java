package beaconladder.cells;

import java.util.List;

/**
 * A proposed placement and the migrations that lead to it. Peaks are in thousandths of a cell's capacity, costs in
 * thousandths of a cell's fair share.
 *
 * @param migrations the migrations in the order to run them: each leads to the lowest cost at that point
 * @param peakBefore the current utilization by load of the fullest cell
 * @param peakAfter the same after all migrations
 * @param costBefore {@link PlacementCost#of} of the current placement
 * @param costAfter the same of the proposed placement
 * @param optimal whether the solver has proved that no placement costs less
 * @param found whether there is a proposal: false if a lost cell can't be emptied by the allowed number of migrations
 * @param survivesCellLoss whether, after the loss of any one cell, the others can take its load
 */
public record PlacementProposal(
        List<ProposedMigration> migrations,
        int peakBefore,
        int peakAfter,
        int costBefore,
        int costAfter,
        boolean optimal,
        boolean found,
        boolean survivesCellLoss) {

    static PlacementProposal found(
            PlacementProblem problem, int[] placement, List<ProposedMigration> migrations, boolean optimal) {
        boolean survivesCellLoss = PlacementCost.survivesLossOfAnyCell(problem, placement);
        return of(problem, placement, migrations, optimal, true, survivesCellLoss);
    }

    static PlacementProposal notFound(PlacementProblem problem, int[] placement, List<ProposedMigration> migrations) {
        return of(problem, placement, migrations, false, false, false);
    }

    private static PlacementProposal of(
            PlacementProblem problem,
            int[] placement,
            List<ProposedMigration> migrations,
            boolean optimal,
            boolean found,
            boolean survivesCellLoss) {
        int[] current = problem.currentCell();
        return new PlacementProposal(
                migrations,
                PlacementCost.peak(problem, current, problem.load()),
                PlacementCost.peak(problem, placement, problem.load()),
                PlacementCost.of(problem, current),
                PlacementCost.of(problem, placement),
                optimal,
                found,
                survivesCellLoss);
    }

    /** Returns a line of text for an operator. */
    public String summary() {
        if (!found) {
            return "no proposal: this number of moves can't empty the lost cell";
        }
        return String.format(
                "%d moves, the fullest cell from %.1f%% to %.1f%% of its capacity; %s; %s",
                migrations.size(),
                peakBefore / 10.0,
                peakAfter / 10.0,
                optimal ? "optimal" : "not proved optimal within the time limit",
                survivesCellLoss
                        ? "after the loss of any one cell the others can take its load"
                        : "the loss of some cell would overload the others");
    }
}
