package beaconladder.cells;

import beaconladder.plan.Plan;
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
 * Proposes who should live where and the moves to get there: loads balanced, value at risk balanced, chosen tenants
 * apart, room for the loss of any one cell, as few moves as that takes. A proposal, and no more: the keeper moves.
 */
public final class PlacementPlanner {
    /** Loads are reckoned in thousandths of a cell's fair part, so that the solver has small whole numbers. */
    private static final int SCALE = 1_000;
    /** A move must lower the peak by more than a hundredth of a fair part to be worth its fence. */
    private static final int PRICE = 10;
    /** Two tenants that should be apart and are not weigh as much as a quarter of a cell's fair part. */
    private static final int TOGETHER = 250;
    /** Twenty tenants are placed anew at a time, with so many tries, so many times: some seconds at 160 tenants. */
    private static final int NEIGHBOURS = 20;

    private static final int BACKTRACKS = 200;
    private static final int NEIGHBOURHOODS = 400;
    /** A whole search of so many nodes takes about a second. */
    private static final long WHOLE_NODES = 100_000;
    /** No placement in cells that are there comes near it. */
    private static final int WORST = 10_000_000;
    /** Beyond this many tenants the small ones are left where they are: the large ones decide the peak. */
    private static final int MOST_TENANTS = 160;

    private PlacementPlanner() {}

    /**
     * The problem in numbers.
     *
     * @param tenants names
     * @param home the cell of each today
     * @param load of each, in thousandths of a cell's fair part
     * @param value of each, likewise
     * @param room of each cell, in the same measure: its share against a fair one
     * @param apart pairs that should not share a cell
     * @param movable of each
     */
    public record Problem(
            List<String> tenants,
            List<String> cells,
            int[] home,
            int[] load,
            int[] value,
            int[] room,
            int[][] apart,
            boolean[] movable) {}

    /** One tenant to another cell. */
    public record Move(String tenant, String from, String to) {}

    /**
     * What is proposed.
     *
     * @param moves in the order in which to make them: each lowers the peak at that point, or the pairs together
     * @param optimal whether the solver has proved that there is none better
     * @param found whether anything was found within the time
     */
    public record Proposal(
            List<Move> moves,
            int peakBefore,
            int peakAfter,
            int costBefore,
            int costAfter,
            boolean optimal,
            boolean found,
            boolean survives) {
        /** For people. */
        public String says() {
            if (!found) {
                return "no proposal: so few moves don't empty the cell that is lost";
            }
            return String.format(
                    "%d moves, the fullest cell from %.1f%% to %.1f%% of its fair part; %s; %s",
                    moves.size(),
                    peakBefore / 10.0,
                    peakAfter / 10.0,
                    optimal ? "optimal" : "not proved optimal within the time",
                    survives
                            ? "the others can take the loss of any one cell"
                            : "the others can't take the loss of every one cell");
        }
    }

    /** The plan in numbers; where tenants live is as the plan states it. */
    public static Problem problem(Plan plan) {
        int n = plan.tenants().size();
        int m = plan.cells().size();
        double loads = plan.tenants().stream().mapToDouble(Plan.Tenant::load).sum();
        double values =
                plan.tenants().stream().mapToDouble(t -> t.load() * t.value()).sum();
        Map<String, Integer> places = new HashMap<>();
        for (int i = 0; i < m; i++) {
            places.put(plan.cells().get(i).name(), i);
        }
        Map<String, Integer> numbers = new HashMap<>();
        for (int i = 0; i < n; i++) {
            numbers.put(plan.tenants().get(i).name(), i);
        }
        int[] home = new int[n];
        int[] load = new int[n];
        int[] value = new int[n];
        boolean[] movable = new boolean[n];
        List<int[]> apart = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            Plan.Tenant tenant = plan.tenants().get(i);
            home[i] = places.get(tenant.cell());
            load[i] = (int) Math.round(SCALE * m * tenant.load() / Math.max(1e-9, loads));
            value[i] = (int) Math.round(SCALE * m * tenant.load() * tenant.value() / Math.max(1e-9, values));
            movable[i] = !tenant.fixed();
            for (String other : tenant.apart()) {
                apart.add(new int[] {i, numbers.get(other)});
            }
        }
        int[] room = plan.cells().stream()
                .mapToInt(c -> (int) Math.round(SCALE * m * c.share()))
                .toArray();
        return new Problem(
                plan.tenants().stream().map(Plan.Tenant::name).toList(),
                plan.cells().stream().map(Plan.Cell::name).toList(),
                home,
                load,
                value,
                room,
                apart.toArray(int[][]::new),
                movable);
    }

    /**
     * The same where a cell is lost: nobody may stay or come there, and who is fixed there has to leave as well.
     *
     * @param lost its name
     */
    public static Problem without(Problem p, String lost) {
        int gone = p.cells().indexOf(lost);
        if (gone < 0 || p.cells().size() < 2) {
            throw new IllegalArgumentException("no cell '" + lost + "' is there to be lost");
        }
        boolean[] movable = p.movable().clone();
        int[] room = p.room().clone();
        for (int i = 0; i < movable.length; i++) {
            movable[i] |= p.home()[i] == gone;
        }
        room[gone] = 0;
        return new Problem(p.tenants(), p.cells(), p.home(), p.load(), p.value(), room, p.apart(), movable);
    }

    /** What a placement costs: the peak of load and of value against each cell's room, pairs together, moves. */
    public static int cost(Problem p, int[] at) {
        int moves = (int)
                IntStream.range(0, at.length).filter(i -> at[i] != p.home()[i]).count();
        return peak(p, at, p.load()) + peak(p, at, p.value()) / 2 + TOGETHER * together(p, at) + PRICE * moves;
    }

    private static int together(Problem p, int[] at) {
        return (int) Arrays.stream(p.apart())
                .filter(pair -> at[pair[0]] == at[pair[1]])
                .count();
    }

    private static int peak(Problem p, int[] at, int[] of) {
        long peak = 0;
        int[] sums = sums(p, at, of);
        for (int cell = 0; cell < sums.length; cell++) {
            peak = Math.max(peak, part(p, sums, cell));
        }
        return (int) Math.min(peak, WORST);
    }

    /** How much of its room a cell uses; any use of a lost one is the worst there is. */
    private static long part(Problem p, int[] sums, int cell) {
        return p.room()[cell] > 0 ? (long) sums[cell] * SCALE / p.room()[cell] : sums[cell] > 0 ? WORST : 0;
    }

    private static int[] sums(Problem p, int[] at, int[] of) {
        int[] sums = new int[p.cells().size()];
        for (int i = 0; i < at.length; i++) {
            sums[at[i]] += of[i];
        }
        return sums;
    }

    /** Whether, whichever cell is lost, the others together have room for all: in twice their fair part each. */
    static boolean survives(Problem p, int[] at) {
        int[] sums = sums(p, at, p.load());
        for (int lost = 0; lost < sums.length; lost++) {
            long room = 0;
            if (p.room()[lost] == 0) {
                continue;
            }
            for (int cell = 0; cell < sums.length; cell++) {
                room += cell == lost ? 0 : Math.max(0, 2L * p.room()[cell] - sums[cell]);
            }
            if (sums[lost] > room) {
                return false;
            }
        }
        return true;
    }

    /**
     * Proposes moves; the same problem and seed give the same proposal wherever the solver ends before its time.
     *
     * @param most moves
     * @param seconds to think
     */
    public static Proposal propose(Problem p, int most, int seconds, long seed) {
        int[] best = greedy(p, most);
        for (int i = 0; i < best.length; i++) {
            if (p.room()[best[i]] == 0) {
                // With so few moves the lost cell can't be left.
                return new Proposal(
                        order(p, best),
                        peak(p, p.home(), p.load()),
                        peak(p, best, p.load()),
                        cost(p, p.home()),
                        cost(p, best),
                        false,
                        false,
                        false);
            }
        }
        boolean optimal = false;
        int[] free = free(p);
        if (free.length > 0 && most > 0) {
            Solved solved = solve(p, best, free, most, seconds, seed);
            optimal = solved.optimal && free.length == p.home().length;
            best = cost(p, solved.at) < cost(p, best) ? solved.at : best;
        }
        int[] home = p.home();
        return new Proposal(
                order(p, best),
                peak(p, home, p.load()),
                peak(p, best, p.load()),
                cost(p, home),
                cost(p, best),
                optimal,
                true,
                survives(p, best));
    }

    /** Those whose cell the solver may choose: the movable ones with the most load, and all that should be apart. */
    private static int[] free(Problem p) {
        boolean[] pair = new boolean[p.home().length];
        Arrays.stream(p.apart()).forEach(two -> Arrays.stream(two).forEach(i -> pair[i] = true));
        int[] all = IntStream.range(0, p.home().length)
                .filter(i -> p.movable()[i])
                .boxed()
                .sorted(Comparator.<Integer>comparingInt(i -> pair[i] ? 0 : 1)
                        .thenComparingInt(i -> -p.load()[i])
                        .thenComparingInt(i -> i))
                .mapToInt(i -> i)
                .toArray();
        return all.length <= MOST_TENANTS ? all : Arrays.copyOf(all, MOST_TENANTS);
    }

    private record Solved(int[] at, boolean optimal) {}

    private static Solved solve(Problem p, int[] start, int[] free, int most, int seconds, long seed) {
        int m = p.cells().size();
        Model model = new Model("cells");
        boolean[] chosen = new boolean[start.length];
        Arrays.stream(free).forEach(i -> chosen[i] = true);
        int[] fixedLoad = new int[m];
        int[] fixedValue = new int[m];
        for (int i = 0; i < start.length; i++) {
            if (!chosen[i]) {
                fixedLoad[start[i]] += p.load()[i];
                fixedValue[start[i]] += p.value()[i];
            }
        }
        IntVar[] at = new IntVar[free.length];
        BoolVar[][] in = new BoolVar[free.length][m];
        BoolVar[] moved = new BoolVar[free.length];
        for (int i = 0; i < free.length; i++) {
            at[i] = model.intVar(
                    p.tenants().get(free[i]),
                    IntStream.range(0, m).filter(cell -> p.room()[cell] > 0).toArray());
            for (int cell = 0; cell < m; cell++) {
                in[i][cell] = model.boolVar();
            }
            model.boolsIntChanneling(in[i], at[i], 0).post();
            moved[i] = in[i][p.home()[free[i]]].not();
        }
        IntVar load =
                peak(model, p, in, Arrays.stream(free).map(i -> p.load()[i]).toArray(), fixedLoad);
        IntVar value =
                peak(model, p, in, Arrays.stream(free).map(i -> p.value()[i]).toArray(), fixedValue);
        IntVar moves = model.intVar("moves", 0, Math.min(most, free.length));
        model.sum(moved, "=", moves).post();
        Map<Integer, Integer> numbers = new HashMap<>();
        for (int i = 0; i < free.length; i++) {
            numbers.put(free[i], i);
        }
        List<BoolVar> pairs = new ArrayList<>();
        for (int[] pair : p.apart()) {
            if (numbers.containsKey(pair[0]) && numbers.containsKey(pair[1])) {
                pairs.add(model.arithm(at[numbers.get(pair[0])], "=", at[numbers.get(pair[1])])
                        .reify());
            }
        }
        IntVar together = model.intVar("together", 0, pairs.size());
        model.sum(pairs.toArray(BoolVar[]::new), "=", together).post();
        IntVar cost = model.intVar("cost", 0, cost(p, start));
        // Twice everything, so that the half weight of value stays whole.
        model.scalar(
                        new IntVar[] {load, value, together, moves, cost},
                        new int[] {2, 1, 2 * TOGETHER, 2 * PRICE, -2},
                        "<=",
                        1)
                .post();
        model.setObjective(Model.MINIMIZE, cost);
        Solver solver = model.getSolver();
        solver.setSearch(search(start, free, at, load, value, together, moves, cost));
        IntVar[] kept = Arrays.copyOf(at, at.length + 1);
        kept[at.length] = cost;
        Solution best = new Solution(model, kept);
        boolean found = false;
        // First a whole search, which proves what it finds where the problem is small; then, from the best
        // that is
        // known, searches in the neighbourhood of it. Both end by counts, so that the same seed gives the
        // same.
        solver.limitTime(seconds * 500L);
        solver.limitNode(WHOLE_NODES);
        while (solver.solve()) {
            best.record();
            found = true;
        }
        boolean optimal = !solver.isStopCriterionMet();
        if (!optimal) {
            solver.hardReset();
            solver.setSearch(search(start, free, at, load, value, together, moves, cost));
            if (found) {
                model.arithm(cost, "<", best.getIntVal(cost)).post();
            }
            solver.setLNS(
                    new RandomNeighborhood(at, NEIGHBOURS, new SplittableRandom(seed).nextLong()),
                    new FailCounter(model, BACKTRACKS));
            solver.limitTime(seconds * 500L);
            solver.limitRestart(NEIGHBOURHOODS);
            while (solver.solve()) {
                best.record();
                found = true;
            }
        }
        int[] result = start.clone();
        for (int i = 0; found && i < free.length; i++) {
            result[free[i]] = best.getIntVal(at[i]);
        }
        return new Solved(result, optimal);
    }

    /** Each stays at first where the start has it; then the sums follow. */
    private static AbstractStrategy<?>[] search(int[] start, int[] free, IntVar[] at, IntVar... sums) {
        Map<IntVar, Integer> homes = new HashMap<>();
        for (int i = 0; i < at.length; i++) {
            homes.put(at[i], start[free[i]]);
        }
        return new AbstractStrategy<?>[] {
            Search.intVarSearch(
                    vars -> {
                        for (IntVar each : vars) {
                            if (!each.isInstantiated()) {
                                return each;
                            }
                        }
                        return null;
                    },
                    each -> each.contains(homes.get(each)) ? homes.get(each) : each.getLB(),
                    at),
            Search.inputOrderLBSearch(sums)
        };
    }

    /** The largest part of its room that any cell uses. */
    private static IntVar peak(Model model, Problem p, BoolVar[][] in, int[] of, int[] fixed) {
        int total = Arrays.stream(of).sum() + Arrays.stream(fixed).sum();
        int m = p.cells().size();
        int smallest = Math.max(
                1, Arrays.stream(p.room()).filter(room -> room > 0).min().orElse(1));
        IntVar peak =
                model.intVar("peak", 0, (int) Math.min(Integer.MAX_VALUE / 16, (long) total * SCALE / smallest + 1));
        for (int cell = 0; cell < m; cell++) {
            if (p.room()[cell] == 0) {
                continue;
            }
            IntVar[] vars = new IntVar[in.length + 1];
            int[] factors = new int[in.length + 1];
            for (int i = 0; i < in.length; i++) {
                vars[i] = in[i][cell];
                factors[i] = of[i] * SCALE / Math.max(1, p.room()[cell]);
            }
            vars[in.length] = peak;
            factors[in.length] = -1;
            model.scalar(vars, factors, "<=", -(int) ((long) fixed[cell] * SCALE / Math.max(1, p.room()[cell])))
                    .post();
        }
        return peak;
    }

    /** The baseline, and where the solver starts: again and again the one move that lowers the cost most. */
    public static int[] greedy(Problem p, int most) {
        int[] at = p.home().clone();
        for (int step = 0; step < most; step++) {
            int before = cost(p, at) + stranded(p, at);
            int bestTenant = -1;
            int bestCell = -1;
            int best = before;
            int full = fullest(p, at);
            for (int i = 0; i < at.length; i++) {
                if (!p.movable()[i] || at[i] != full && !paired(p, at, i)) {
                    continue;
                }
                int home = at[i];
                for (int cell = 0; cell < p.cells().size(); cell++) {
                    at[i] = cell;
                    int cost = cell == home ? before : cost(p, at) + stranded(p, at);
                    if (cost < best) {
                        best = cost;
                        bestTenant = i;
                        bestCell = cell;
                    }
                }
                at[i] = home;
            }
            if (bestTenant < 0) {
                break;
            }
            at[bestTenant] = bestCell;
        }
        return at;
    }

    /** Each who is still in a lost cell counts, so that every move out of it is one for the better. */
    private static int stranded(Problem p, int[] at) {
        return WORST
                / 1_000
                * (int) Arrays.stream(at).filter(cell -> p.room()[cell] == 0).count();
    }

    private static boolean paired(Problem p, int[] at, int tenant) {
        return Arrays.stream(p.apart())
                .anyMatch(two -> (two[0] == tenant || two[1] == tenant) && at[two[0]] == at[two[1]]);
    }

    private static int fullest(Problem p, int[] at) {
        int[] sums = sums(p, at, p.load());
        return IntStream.range(0, sums.length)
                .boxed()
                .max(Comparator.comparingLong(c -> part(p, sums, c)))
                .orElse(0);
    }

    /** Each next move is the one after which the cost is lowest, so that stopping half way leaves the least. */
    private static List<Move> order(Problem p, int[] to) {
        List<Move> moves = new ArrayList<>();
        int[] at = p.home().clone();
        while (true) {
            int next = -1;
            int least = Integer.MAX_VALUE;
            for (int i = 0; i < at.length; i++) {
                if (at[i] != to[i]) {
                    int home = at[i];
                    at[i] = to[i];
                    int cost = cost(p, at);
                    at[i] = home;
                    if (cost < least) {
                        least = cost;
                        next = i;
                    }
                }
            }
            if (next < 0) {
                return moves;
            }
            moves.add(new Move(
                    p.tenants().get(next), p.cells().get(at[next]), p.cells().get(to[next])));
            at[next] = to[next];
        }
    }
}
