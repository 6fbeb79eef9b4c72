package beaconladder.cells;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

/** The cost function of placement planning; a placement is an array with the cell of each tenant. */
public final class PlacementCost {
    /** A migration must lower the peak by more than a hundredth of a fair share to justify its write fence. */
    static final int COST_PER_MIGRATION = 10;
    /** Two tenants that should be separated but share a cell cost as much as a quarter of a cell's fair share. */
    static final int COST_PER_COLOCATED_PAIR = 250;
    /** The peak of a placement that uses a lost cell; far above any placement in the remaining cells. */
    static final int LOST_CELL_PEAK = 10_000_000;
    /** Each tenant in a lost cell costs {@link #LOST_CELL_PEAK} divided by this. */
    private static final int STRANDED_COST_DIVISOR = 1_000;
    /** After the loss of a cell, the load of each other cell may reach this multiple of its capacity. */
    private static final long MAX_OVERLOAD_AFTER_LOSS = 2;

    private PlacementCost() {}

    /**
     * Returns the cost: the peak utilization by load, half the peak utilization by value at risk, the number of
     * colocated pairs and the number of migrations, each weighted.
     *
     * @param placement the cell of each tenant
     * @return the cost in thousandths of a cell's fair share; lower is better
     */
    public static int of(PlacementProblem problem, int[] placement) {
        int[] current = problem.currentCell();
        int migrations = (int) IntStream.range(0, placement.length)
                .filter(i -> placement[i] != current[i])
                .count();
        return peak(problem, placement, problem.load())
                + peak(problem, placement, problem.valueAtRisk()) / 2
                + COST_PER_COLOCATED_PAIR * colocatedPairs(problem, placement)
                + COST_PER_MIGRATION * migrations;
    }

    private static int colocatedPairs(PlacementProblem problem, int[] placement) {
        return (int) Arrays.stream(problem.separatedPairs())
                .filter(pair -> placement[pair[0]] == placement[pair[1]])
                .count();
    }

    /** Returns whether this tenant shares its cell with one that it should be separated from. */
    static boolean violatesSeparation(PlacementProblem problem, int[] placement, int tenant) {
        return Arrays.stream(problem.separatedPairs())
                .anyMatch(pair -> (pair[0] == tenant || pair[1] == tenant) && placement[pair[0]] == placement[pair[1]]);
    }

    /** Returns the highest utilization of any cell, in thousandths of its capacity. */
    static int peak(PlacementProblem problem, int[] placement, int[] amounts) {
        long peak = 0;
        int[] sums = sums(problem, placement, amounts);
        for (int cell = 0; cell < sums.length; cell++) {
            peak = Math.max(peak, utilization(problem, sums, cell));
        }
        return (int) Math.min(peak, LOST_CELL_PEAK);
    }

    private static long utilization(PlacementProblem problem, int[] sums, int cell) {
        if (problem.isLost(cell)) {
            return sums[cell] > 0 ? LOST_CELL_PEAK : 0;
        }
        return (long) sums[cell] * PlacementProblem.SCALE / problem.capacity()[cell];
    }

    private static int[] sums(PlacementProblem problem, int[] placement, int[] amounts) {
        int[] sums = new int[problem.cellCount()];
        for (int i = 0; i < placement.length; i++) {
            sums[placement[i]] += amounts[i];
        }
        return sums;
    }

    /** Returns the cell with the highest utilization by load. */
    static int fullestCell(PlacementProblem problem, int[] placement) {
        int[] sums = sums(problem, placement, problem.load());
        return IntStream.range(0, sums.length)
                .boxed()
                .max(Comparator.comparingLong(cell -> utilization(problem, sums, cell)))
                .orElse(0);
    }

    /** Returns a cost for each tenant in a lost cell, so that every migration out of it lowers the total. */
    static int strandedCost(PlacementProblem problem, int[] placement) {
        return LOST_CELL_PEAK
                / STRANDED_COST_DIVISOR
                * (int) Arrays.stream(placement).filter(problem::isLost).count();
    }

    /** Returns whether, after the loss of any one cell, the others can take its load within their allowed overload. */
    static boolean survivesLossOfAnyCell(PlacementProblem problem, int[] placement) {
        int[] sums = sums(problem, placement, problem.load());
        for (int lost = 0; lost < sums.length; lost++) {
            if (problem.isLost(lost)) {
                continue;
            }
            long spareCapacity = 0;
            for (int cell = 0; cell < sums.length; cell++) {
                spareCapacity +=
                        cell == lost ? 0 : Math.max(0, MAX_OVERLOAD_AFTER_LOSS * problem.capacity()[cell] - sums[cell]);
            }
            if (sums[lost] > spareCapacity) {
                return false;
            }
        }
        return true;
    }
}
