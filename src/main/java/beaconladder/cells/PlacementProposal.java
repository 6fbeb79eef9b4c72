package beaconladder.cells;

import java.util.List;

/**
 * A proposed placement and the migrations that lead to it. Peaks and costs are in thousandths of a cell's fair part.
 *
 * @param migrations in the order in which to run them: each next one leads to the lowest cost at that point
 * @param peakBefore the part of its capacity that the fullest cell uses by load today
 * @param peakAfter the same after all migrations
 * @param costBefore {@link PlacementCost#of} of the current placement
 * @param costAfter the same of the proposed one
 * @param optimal whether the solver has proved that no placement costs less
 * @param found whether there is a proposal: false if a lost cell can't be emptied by so few migrations
 * @param survivesCellLoss whether the other cells can take the load of any one that is lost
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

    /** One line for an operator. */
    public String summary() {
        if (!found) {
            return "no proposal: so few moves don't empty the cell that is lost";
        }
        return String.format(
                "%d moves, the fullest cell from %.1f%% to %.1f%% of its fair part; %s; %s",
                migrations.size(),
                peakBefore / 10.0,
                peakAfter / 10.0,
                optimal ? "optimal" : "not proved optimal within the time",
                survivesCellLoss
                        ? "the others can take the loss of any one cell"
                        : "the others can't take the loss of every one cell");
    }
}
