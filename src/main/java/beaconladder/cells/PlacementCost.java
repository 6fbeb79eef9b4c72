package beaconladder.cells;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

/** What a placement costs; a placement is an array with the cell of each tenant. */
public final class PlacementCost {
    /** A migration must lower the peak by more than a hundredth of a fair part to justify its write fence. */
    static final int COST_PER_MIGRATION = 10;
    /** Two tenants that should be apart and share a cell cost as much as a quarter of a cell's fair part. */
    static final int COST_PER_COLOCATED_PAIR = 250;
    /** The peak while a lost cell is in use; no placement in remaining cells comes near it. */
    static final int LOST_CELL_PEAK = 10_000_000;
    /** Each tenant in a lost cell costs this much of {@link #LOST_CELL_PEAK}. */
    private static final int STRANDED_COST_DIVISOR = 1_000;
    /** After the loss of a cell each of the others may be filled up to so many times its capacity. */
    private static final long MAX_OVERLOAD_AFTER_LOSS = 2;

    private PlacementCost() {}

    /**
     * The cost: the peak use of capacity by load, half of that by value at risk, pairs that share a cell, and
     * migrations.
     *
     * @param placement the cell of each tenant
     * @return in thousandths of a cell's fair part; lower is better
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

    /** Whether this tenant shares its cell with one that it should be apart from. */
    static boolean violatesSeparation(PlacementProblem problem, int[] placement, int tenant) {
        return Arrays.stream(problem.separatedPairs())
                .anyMatch(pair -> (pair[0] == tenant || pair[1] == tenant) && placement[pair[0]] == placement[pair[1]]);
    }

    /** The largest part of its capacity that any cell uses, in thousandths. */
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

    /** The cell that uses the largest part of its capacity by load. */
    static int fullestCell(PlacementProblem problem, int[] placement) {
        int[] sums = sums(problem, placement, problem.load());
        return IntStream.range(0, sums.length)
                .boxed()
                .max(Comparator.comparingLong(cell -> utilization(problem, sums, cell)))
                .orElse(0);
    }

    /** Each tenant in a lost cell counts, so that every migration out of it lowers the cost. */
    static int strandedCost(PlacementProblem problem, int[] placement) {
        return LOST_CELL_PEAK
                / STRANDED_COST_DIVISOR
                * (int) Arrays.stream(placement).filter(problem::isLost).count();
    }

    /** Whether the others can take the load of any one cell that is lost, at twice their capacity each. */
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
