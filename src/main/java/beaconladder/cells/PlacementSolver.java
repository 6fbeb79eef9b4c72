package beaconladder.cells;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.chocosolver.solver.Model;
import org.chocosolver.solver.Solution;
import org.chocosolver.solver.Solver;
import org.chocosolver.solver.search.limits.FailCounter;
import org.chocosolver.solver.search.loop.lns.neighbors.RandomNeighborhood;
import org.chocosolver.solver.search.strategy.Search;
import org.chocosolver.solver.search.strategy.strategy.AbstractStrategy;
import org.chocosolver.solver.variables.BoolVar;
import org.chocosolver.solver.variables.IntVar;

/**
 * Improves a placement with a constraint solver. The model has a variable for the cell of each free tenant and
 * minimizes the cost that {@link PlacementCost#of} computes; all other tenants stay in their cells of the start
 * placement.
 */
final class PlacementSolver {
    /** With more tenants than this, the smallest keep their cells: the peak depends on the large ones. */
    private static final int MAX_FREE_TENANTS = 160;
    /** Tenants that large neighbourhood search frees at a time; with 160 tenants it takes some seconds in total. */
    private static final int FREED_PER_NEIGHBOURHOOD = 20;

    private static final int FAILURES_PER_NEIGHBOURHOOD = 200;
    private static final int MAX_NEIGHBOURHOODS = 400;
    /** The node limit of the complete search, which takes about a second. */
    private static final long MAX_COMPLETE_NODES = 100_000;
    /** Time limit of a search per second of total time: each of the two searches may use half. */
    private static final long SEARCH_MILLIS_PER_SECOND = 500;
    /** An upper bound on a peak with which the solver's sums fit in an int. */
    private static final int PEAK_UPPER_BOUND = Integer.MAX_VALUE / 16;

    /** The best placement found, or the start placement if there is none better, and whether it is proved optimal. */
    record Result(int[] placement, boolean optimal) {}

    private final PlacementProblem problem;
    private final int[] startPlacement;
    private final int[] freeTenants;
    private final Model model = new Model("cells");
    /** The cell of each free tenant. */
    private final IntVar[] cellOf;
    /** For each free tenant and each cell, whether it is placed there. */
    private final BoolVar[][] isPlacedIn;

    private final BoolVar[] isMigrated;
    private final IntVar loadPeak;
    private final IntVar valuePeak;
    private final IntVar migrationCount;
    private final IntVar colocatedPairs;
    private final IntVar cost;

    /**
     * Builds the model. The solver's search depends on the order in which variables and constraints are created.
     *
     * @param startPlacement a placement that needs at most {@code maxMigrations} migrations
     * @param freeTenants the tenants whose cells may change
     */
    PlacementSolver(PlacementProblem problem, int[] startPlacement, int[] freeTenants, int maxMigrations) {
        this.problem = problem;
        this.startPlacement = startPlacement;
        this.freeTenants = freeTenants;
        cellOf = new IntVar[freeTenants.length];
        isPlacedIn = new BoolVar[freeTenants.length][problem.cellCount()];
        isMigrated = new BoolVar[freeTenants.length];
        createTenantVariables();
        loadPeak = peak(problem.load());
        valuePeak = peak(problem.valueAtRisk());
        migrationCount = model.intVar("moves", 0, Math.min(maxMigrations, freeTenants.length));
        model.sum(isMigrated, "=", migrationCount).post();
        colocatedPairs = colocatedPairs();
        cost = model.intVar("cost", 0, PlacementCost.of(problem, startPlacement));
        postCost();
    }

    /** Returns the tenants that the solver may migrate: first those in separated pairs, then by descending load. */
    static int[] selectFreeTenants(PlacementProblem problem) {
        boolean[] inPair = new boolean[problem.tenantCount()];
        Arrays.stream(problem.separatedPairs())
                .forEach(pair -> Arrays.stream(pair).forEach(tenant -> inPair[tenant] = true));
        int[] candidates = IntStream.range(0, problem.tenantCount())
                .filter(tenant -> problem.movable()[tenant])
                .boxed()
                .sorted(Comparator.<Integer>comparingInt(tenant -> inPair[tenant] ? 0 : 1)
                        .thenComparingInt(tenant -> -problem.load()[tenant])
                        .thenComparingInt(tenant -> tenant))
                .mapToInt(tenant -> tenant)
                .toArray();
        return candidates.length <= MAX_FREE_TENANTS ? candidates : Arrays.copyOf(candidates, MAX_FREE_TENANTS);
    }

    private void createTenantVariables() {
        int cellCount = problem.cellCount();
        for (int i = 0; i < freeTenants.length; i++) {
            cellOf[i] = model.intVar(
                    problem.tenants().get(freeTenants[i]),
                    IntStream.range(0, cellCount)
                            .filter(cell -> !problem.isLost(cell))
                            .toArray());
            for (int cell = 0; cell < cellCount; cell++) {
                isPlacedIn[i][cell] = model.boolVar();
            }
            model.boolsIntChanneling(isPlacedIn[i], cellOf[i], 0).post();
            isMigrated[i] = isPlacedIn[i][problem.currentCell()[freeTenants[i]]].not();
        }
    }

    /** Creates a variable for the highest utilization of any cell, in thousandths of its capacity. */
    private IntVar peak(int[] amounts) {
        int[] capacity = problem.capacity();
        int total = Arrays.stream(amounts).sum();
        int smallestCapacity = Math.max(
                1, Arrays.stream(capacity).filter(each -> each > 0).min().orElse(1));
        IntVar peak = model.intVar("peak", 0, (int)
                Math.min(PEAK_UPPER_BOUND, (long) total * PlacementProblem.SCALE / smallestCapacity + 1));
        int[] fixedSums = fixedSums(amounts);
        for (int cell = 0; cell < problem.cellCount(); cell++) {
            if (problem.isLost(cell)) {
                continue;
            }
            IntVar[] variables = new IntVar[freeTenants.length + 1];
            int[] coefficients = new int[freeTenants.length + 1];
            for (int i = 0; i < freeTenants.length; i++) {
                variables[i] = isPlacedIn[i][cell];
                coefficients[i] = amounts[freeTenants[i]] * PlacementProblem.SCALE / Math.max(1, capacity[cell]);
            }
            variables[freeTenants.length] = peak;
            coefficients[freeTenants.length] = -1;
            int fixedPart = (int) ((long) fixedSums[cell] * PlacementProblem.SCALE / Math.max(1, capacity[cell]));
            model.scalar(variables, coefficients, "<=", -fixedPart).post();
        }
        return peak;
    }

    /** Returns by cell the sum over the tenants that are not free. */
    private int[] fixedSums(int[] amounts) {
        boolean[] isFree = new boolean[startPlacement.length];
        Arrays.stream(freeTenants).forEach(tenant -> isFree[tenant] = true);
        int[] sums = new int[problem.cellCount()];
        for (int tenant = 0; tenant < startPlacement.length; tenant++) {
            if (!isFree[tenant]) {
                sums[startPlacement[tenant]] += amounts[tenant];
            }
        }
        return sums;
    }

    /** Creates a variable for the number of pairs of free tenants that should be separated but share a cell. */
    private IntVar colocatedPairs() {
        Map<Integer, Integer> freeIndices = new HashMap<>();
        for (int i = 0; i < freeTenants.length; i++) {
            freeIndices.put(freeTenants[i], i);
        }
        List<BoolVar> pairs = new ArrayList<>();
        for (int[] pair : problem.separatedPairs()) {
            Integer first = freeIndices.get(pair[0]);
            Integer second = freeIndices.get(pair[1]);
            if (first != null && second != null) {
                pairs.add(model.arithm(cellOf[first], "=", cellOf[second]).reify());
            }
        }
        IntVar count = model.intVar("together", 0, pairs.size());
        model.sum(pairs.toArray(BoolVar[]::new), "=", count).post();
        return count;
    }

    private void postCost() {
        // All coefficients are doubled, so that the half weight of the value at risk is an integer.
        model.scalar(
                        new IntVar[] {loadPeak, valuePeak, colocatedPairs, migrationCount, cost},
                        new int[] {
                            2, 1, 2 * PlacementCost.COST_PER_COLOCATED_PAIR, 2 * PlacementCost.COST_PER_MIGRATION, -2
                        },
                        "<=",
                        1)
                .post();
        model.setObjective(Model.MINIMIZE, cost);
    }

    /**
     * Searches for a better placement: first completely, which proves optimality of small problems, then by large
     * neighbourhood search from the best solution. Both stop at a count, so that the same seed gives the same result,
     * or at the time limit.
     */
    Result solve(int maxSeconds, long seed) {
        Solver solver = model.getSolver();
        solver.setSearch(strategies());
        IntVar[] recorded = Arrays.copyOf(cellOf, cellOf.length + 1);
        recorded[cellOf.length] = cost;
        Solution best = new Solution(model, recorded);
        solver.limitTime(maxSeconds * SEARCH_MILLIS_PER_SECOND);
        solver.limitNode(MAX_COMPLETE_NODES);
        boolean found = recordSolutions(solver, best);
        boolean optimal = !solver.isStopCriterionMet();
        if (!optimal) {
            solver.hardReset();
            solver.setSearch(strategies());
            if (found) {
                model.arithm(cost, "<", best.getIntVal(cost)).post();
            }
            solver.setLNS(
                    new RandomNeighborhood(cellOf, FREED_PER_NEIGHBOURHOOD, new SplittableRandom(seed).nextLong()),
                    new FailCounter(model, FAILURES_PER_NEIGHBOURHOOD));
            solver.limitTime(maxSeconds * SEARCH_MILLIS_PER_SECOND);
            solver.limitRestart(MAX_NEIGHBOURHOODS);
            found |= recordSolutions(solver, best);
        }
        int[] placement = startPlacement.clone();
        for (int i = 0; found && i < freeTenants.length; i++) {
            placement[freeTenants[i]] = best.getIntVal(cellOf[i]);
        }
        return new Result(placement, optimal);
    }

    /** Records each better solution until the search stops; returns whether there was any. */
    private static boolean recordSolutions(Solver solver, Solution best) {
        boolean found = false;
        while (solver.solve()) {
            best.record();
            found = true;
        }
        return found;
    }

    /** Tries for each tenant its cell in the start placement first, then assigns the sums. */
    private AbstractStrategy<?>[] strategies() {
        Map<IntVar, Integer> startCells = new HashMap<>();
        for (int i = 0; i < cellOf.length; i++) {
            startCells.put(cellOf[i], startPlacement[freeTenants[i]]);
        }
        return new AbstractStrategy<?>[] {
            Search.intVarSearch(
                    PlacementSolver::firstUnassigned,
                    each -> each.contains(startCells.get(each)) ? startCells.get(each) : each.getLB(),
                    cellOf),
            Search.inputOrderLBSearch(loadPeak, valuePeak, colocatedPairs, migrationCount, cost)
        };
    }

    private static IntVar firstUnassigned(IntVar[] variables) {
        for (IntVar each : variables) {
            if (!each.isInstantiated()) {
                return each;
            }
        }
        return null;
    }
}
