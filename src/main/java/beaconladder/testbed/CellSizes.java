package beaconladder.testbed;

import beaconladder.cells.AdmissionDecision;
import beaconladder.cells.AdmissionRequest;
import beaconladder.cells.CellAdmission;
import beaconladder.cells.GreedyPlacement;
import beaconladder.cells.PlacementCost;
import beaconladder.cells.PlacementPlanner;
import beaconladder.cells.PlacementProblem;
import beaconladder.cells.PlacementProposal;
import beaconladder.cells.PlacementTable;
import beaconladder.cells.RouterCapacity;
import beaconladder.cells.StaticPlacement;
import beaconladder.cells.TenantPlacement;
import beaconladder.plan.PlanReader;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The pure parts of cells at a size that no machine here could run on sockets: time, memory, and who is touched. */
public final class CellSizes {
    private static final long MS = 1_000_000;
    private static final int ROUNDS = 2_000_000;
    private static final int SERVED = 8;
    /** Loads of tenants differ as in most services: a few bring most (Zipf, exponent 1). */
    private static final int RATE = 40_000;

    private CellSizes() {}

    /** Measures; the last line of the figures is returned. */
    public static String measure(int tenants, int cells, int routers, int seconds, long seed) {
        ObjectNode figures = new ObjectMapper().createObjectNode();
        figures.put("tenants", tenants)
                .put("cells", cells)
                .put("routers", routers)
                .put("seed", seed);
        decision(figures, tenants, cells, seed);
        touched(figures, tenants, cells, routers, seed);
        planned(figures, Math.min(tenants, 2_000), cells, seconds, seed);
        return figures.toString();
    }

    private static String plan(int tenants, int cells, boolean stated, SplittableRandom chance) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < cells; i++) {
            text.append("(cell c").append(i).append(" (groups ").append(i).append("))\n");
        }
        double sum = 0;
        for (int i = 1; i <= tenants; i++) {
            sum += 1.0 / i;
        }
        for (int i = 0; stated && i < tenants; i++) {
            text.append("(tenant t")
                    .append(i)
                    .append(" (cell c")
                    .append(chance.nextInt(cells))
                    .append(") (load ")
                    .append(String.format(java.util.Locale.ROOT, "%.3f", Math.max(0.001, RATE / (i + 1) / sum)))
                    .append("txns/s)");
            if (i > 0 && i < 20) {
                text.append(" (apart-from t").append(i - 1).append(')');
            }
            text.append(")\n");
        }
        return text + "(others (spread 2) (share 10%))";
    }

    private static StaticPlacement territory(String text) {
        PlanReader.Result read = PlanReader.read("made", text);
        if (read.plan() == null) {
            throw new IllegalStateException(read.errors().get(0).toString());
        }
        return new StaticPlacement(read.plan());
    }

    private static void decision(ObjectNode figures, int tenants, int cells, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        long before = System.nanoTime();
        StaticPlacement territory = territory(
                plan(tenants, cells, true, chance) + "(keeper (at 127.0.0.1:1) (discovery 127.0.0.1:2) (store \"x\"))");
        figures.put("plan_read_ms", (System.nanoTime() - before) / MS);
        CellAdmission admission = new CellAdmission("n0", territory, new RouterCapacity(10_000, 10_000, 1L << 30));
        Map<String, TenantPlacement> seats = new HashMap<>();
        String[] names = new String[tenants];
        for (int i = 0; i < tenants; i++) {
            names[i] = "t" + i;
            seats.put(names[i], new TenantPlacement("c" + chance.nextInt(cells), true, true, false, List.of()));
        }
        admission.applyPlacement(new PlacementTable(1, Long.MAX_VALUE / 2, territory.fingerprint(), seats));
        com.sun.management.ThreadMXBean memory = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        for (String kind : List.of("stated", "spread")) {
            for (int round = 0; round < 2; round++) {
                long bytes = memory.getCurrentThreadAllocatedBytes();
                long from = System.nanoTime();
                for (int i = 0; i < ROUNDS; i++) {
                    int n = chance.nextInt(tenants);
                    String tenant = kind.equals("stated") ? names[n] : names[n].substring(1);
                    AdmissionDecision answer = admission.admit(
                            new AdmissionRequest(tenant, i, n % cells, i % 4 == 0, 1, 100, null, from, from + MS),
                            from);
                    if (answer.permit() != null) {
                        admission.release(answer.permit());
                    }
                }
                figures.put(kind + "_ns_a_decision", (System.nanoTime() - from) / ROUNDS);
                figures.put(kind + "_bytes_a_decision", (memory.getCurrentThreadAllocatedBytes() - bytes) / ROUNDS);
            }
        }
    }

    /** Who shares all of its cells, or any, with one bad tenant; who is served by one bad router. */
    private static void touched(ObjectNode figures, int tenants, int cells, int routers, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        StaticPlacement spread = territory(plan(tenants, cells, false, chance));
        StaticPlacement plain = territory(plan(tenants, cells, false, chance).replace("(spread 2)", "(spread 1)"));
        StaticPlacement joined = territory(plan(tenants, cells, false, chance) + "(cell joins (groups " + cells + "))");
        long all = 0;
        long any = 0;
        long one = 0;
        int bad = 200;
        for (int b = 0; b < bad; b++) {
            int[] of = spread.shuffleShard("t" + b).clone();
            Arrays.sort(of);
            for (int i = 0; i < tenants; i++) {
                int[] other = spread.shuffleShard("t" + i);
                int same = (int) Arrays.stream(other)
                        .filter(c -> Arrays.binarySearch(of, c) >= 0)
                        .count();
                all += same == of.length ? 1 : 0;
                any += same > 0 ? 1 : 0;
                one += plain.shuffleShard("t" + i)[0] == plain.shuffleShard("t" + b)[0] ? 1 : 0;
            }
        }
        int moved = 0;
        int modulo = 0;
        for (int i = 0; i < tenants; i++) {
            long key = chance.nextLong();
            moved += spread.homeCell("t" + i, key) != joined.homeCell("t" + i, key) ? 1 : 0;
            modulo += Math.floorMod(key, cells) != Math.floorMod(key, cells + 1) ? 1 : 0;
        }
        double pairs = (double) bad * tenants;
        figures.putObject("touched_by_a_bad_tenant")
                .put("no_cells", 1.0)
                .put("plain_hashing", one / pairs)
                .put("spread_wholly", all / pairs)
                .put("spread_in_part", any / pairs);
        figures.putObject("touched_by_a_bad_router")
                .put("serving_all", 1.0)
                .put("serving_" + SERVED + "_cells", bySome(spread, tenants, cells, routers));
        figures.putObject("keys_moved_when_a_cell_joins")
                .put("spread", (double) moved / tenants)
                .put("modulo", (double) modulo / tenants);
    }

    /** Routers serve eight cells each, in turn: the share of tenants with any cell at one of them, on average. */
    private static double bySome(StaticPlacement spread, int tenants, int cells, int routers) {
        long touched = 0;
        for (int router = 0; router < routers; router++) {
            int from = router * SERVED % cells;
            for (int i = 0; i < tenants; i++) {
                touched += Arrays.stream(spread.shuffleShard("t" + i))
                                .anyMatch(cell -> Math.floorMod(cell - from, cells) < SERVED)
                        ? 1
                        : 0;
            }
        }
        return (double) touched / routers / tenants;
    }

    private static void planned(ObjectNode figures, int tenants, int cells, int seconds, long seed) {
        PlacementProblem problem =
                PlacementProblem.of(PlanReader.read("made", plan(tenants, cells, true, new SplittableRandom(seed)))
                        .plan());
        long from = System.nanoTime();
        int greedy = PlacementCost.of(problem, GreedyPlacement.search(problem, 100));
        long middle = System.nanoTime();
        PlacementProposal proposal = PlacementPlanner.propose(problem, 100, seconds, seed);
        long end = System.nanoTime();
        figures.putObject("planner")
                .put("tenants", tenants)
                .put("cost_before", proposal.costBefore())
                .put("cost_greedy", greedy)
                .put("greedy_ms", (middle - from) / MS)
                .put("cost", proposal.costAfter())
                .put("ms", (end - middle) / MS)
                .put("moves", proposal.migrations().size())
                .put("peak_before", proposal.peakBefore())
                .put("peak_after", proposal.peakAfter())
                .put("optimal", proposal.optimal());
    }
}
