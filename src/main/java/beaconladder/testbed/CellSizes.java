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

/** Measures cell admission, placement and planning in memory, at sizes too large to run with real processes. */
public final class CellSizes {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int DECISIONS = 2_000_000;
    private static final int CELLS_PER_ROUTER = 8;
    /** Total load, which a Zipf distribution with exponent 1 divides: a few tenants make up most of it. */
    private static final int TOTAL_TXNS_PER_SECOND = 40_000;

    private CellSizes() {}

    /** Runs all measurements; returns the figures as one JSON line. */
    public static String measure(int tenants, int cells, int routers, int seconds, long seed) {
        ObjectNode figures = new ObjectMapper().createObjectNode();
        figures.put("tenants", tenants)
                .put("cells", cells)
                .put("routers", routers)
                .put("seed", seed);
        measureDecisions(figures, tenants, cells, seed);
        measureImpact(figures, tenants, cells, routers, seed);
        measurePlanner(figures, Math.min(tenants, 2_000), cells, seconds, seed);
        return figures.toString();
    }

    private static String plan(int tenants, int cells, boolean listTenants, SplittableRandom random) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < cells; i++) {
            text.append("(cell c").append(i).append(" (groups ").append(i).append("))\n");
        }
        double sum = 0;
        for (int i = 1; i <= tenants; i++) {
            sum += 1.0 / i;
        }
        for (int i = 0; listTenants && i < tenants; i++) {
            text.append("(tenant t")
                    .append(i)
                    .append(" (cell c")
                    .append(random.nextInt(cells))
                    .append(") (load ")
                    .append(String.format(
                            java.util.Locale.ROOT, "%.3f", Math.max(0.001, TOTAL_TXNS_PER_SECOND / (i + 1) / sum)))
                    .append("txns/s)");
            if (i > 0 && i < 20) {
                text.append(" (apart-from t").append(i - 1).append(')');
            }
            text.append(")\n");
        }
        return text + "(others (spread 2) (share 10%))";
    }

    private static StaticPlacement parsePlacement(String text) {
        PlanReader.Result read = PlanReader.read("made", text);
        if (read.plan() == null) {
            throw new IllegalStateException(read.errors().get(0).toString());
        }
        return new StaticPlacement(read.plan());
    }

    private static void measureDecisions(ObjectNode figures, int tenants, int cells, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long readStartNanos = System.nanoTime();
        StaticPlacement placement = parsePlacement(
                plan(tenants, cells, true, random) + "(keeper (at 127.0.0.1:1) (discovery 127.0.0.1:2) (store \"x\"))");
        figures.put("plan_read_ms", (System.nanoTime() - readStartNanos) / NANOS_PER_MILLI);
        CellAdmission admission = new CellAdmission("n0", placement, new RouterCapacity(10_000, 10_000, 1L << 30));
        Map<String, TenantPlacement> placements = new HashMap<>();
        String[] names = new String[tenants];
        for (int i = 0; i < tenants; i++) {
            names[i] = "t" + i;
            placements.put(names[i], new TenantPlacement("c" + random.nextInt(cells), true, true, false, List.of()));
        }
        admission.applyPlacement(new PlacementTable(1, Long.MAX_VALUE / 2, placement.fingerprint(), placements));
        com.sun.management.ThreadMXBean memory = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        for (String kind : List.of("stated", "spread")) {
            for (int round = 0; round < 2; round++) {
                long bytes = memory.getCurrentThreadAllocatedBytes();
                long startNanos = System.nanoTime();
                for (int i = 0; i < DECISIONS; i++) {
                    int n = random.nextInt(tenants);
                    String tenant = kind.equals("stated") ? names[n] : names[n].substring(1);
                    AdmissionDecision decision = admission.admit(
                            new AdmissionRequest(
                                    tenant,
                                    i,
                                    n % cells,
                                    i % 4 == 0,
                                    1,
                                    100,
                                    null,
                                    startNanos,
                                    startNanos + NANOS_PER_MILLI),
                            startNanos);
                    if (decision.permit() != null) {
                        admission.release(decision.permit());
                    }
                }
                figures.put(kind + "_ns_a_decision", (System.nanoTime() - startNanos) / DECISIONS);
                figures.put(kind + "_bytes_a_decision", (memory.getCurrentThreadAllocatedBytes() - bytes) / DECISIONS);
            }
        }
    }

    /** Measures how many tenants share all or any of their cells with a bad tenant, or are served by a bad router. */
    private static void measureImpact(ObjectNode figures, int tenants, int cells, int routers, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        StaticPlacement spread = parsePlacement(plan(tenants, cells, false, random));
        StaticPlacement plain =
                parsePlacement(plan(tenants, cells, false, random).replace("(spread 2)", "(spread 1)"));
        StaticPlacement joined =
                parsePlacement(plan(tenants, cells, false, random) + "(cell joins (groups " + cells + "))");
        long sharingAll = 0;
        long sharingAny = 0;
        long sharingHome = 0;
        int badTenants = 200;
        for (int b = 0; b < badTenants; b++) {
            int[] badShard = spread.shuffleShard("t" + b).clone();
            Arrays.sort(badShard);
            for (int i = 0; i < tenants; i++) {
                int[] other = spread.shuffleShard("t" + i);
                int sharedCells = (int) Arrays.stream(other)
                        .filter(c -> Arrays.binarySearch(badShard, c) >= 0)
                        .count();
                sharingAll += sharedCells == badShard.length ? 1 : 0;
                sharingAny += sharedCells > 0 ? 1 : 0;
                sharingHome += plain.shuffleShard("t" + i)[0] == plain.shuffleShard("t" + b)[0] ? 1 : 0;
            }
        }
        int movedBySpread = 0;
        int movedByModulo = 0;
        for (int i = 0; i < tenants; i++) {
            long key = random.nextLong();
            movedBySpread += spread.homeCell("t" + i, key) != joined.homeCell("t" + i, key) ? 1 : 0;
            movedByModulo += Math.floorMod(key, cells) != Math.floorMod(key, cells + 1) ? 1 : 0;
        }
        double pairs = (double) badTenants * tenants;
        figures.putObject("touched_by_a_bad_tenant")
                .put("no_cells", 1.0)
                .put("plain_hashing", sharingHome / pairs)
                .put("spread_wholly", sharingAll / pairs)
                .put("spread_in_part", sharingAny / pairs);
        figures.putObject("touched_by_a_bad_router")
                .put("serving_all", 1.0)
                .put("serving_" + CELLS_PER_ROUTER + "_cells", meanShareOfRouter(spread, tenants, cells, routers));
        figures.putObject("keys_moved_when_a_cell_joins")
                .put("spread", (double) movedBySpread / tenants)
                .put("modulo", (double) movedByModulo / tenants);
    }

    /** Returns the mean share of tenants with a cell at one router, if each serves eight consecutive cells. */
    private static double meanShareOfRouter(StaticPlacement spread, int tenants, int cells, int routers) {
        long touched = 0;
        for (int router = 0; router < routers; router++) {
            int firstCell = router * CELLS_PER_ROUTER % cells;
            for (int i = 0; i < tenants; i++) {
                touched += Arrays.stream(spread.shuffleShard("t" + i))
                                .anyMatch(cell -> Math.floorMod(cell - firstCell, cells) < CELLS_PER_ROUTER)
                        ? 1
                        : 0;
            }
        }
        return (double) touched / routers / tenants;
    }

    private static void measurePlanner(ObjectNode figures, int tenants, int cells, int seconds, long seed) {
        PlacementProblem problem =
                PlacementProblem.of(PlanReader.read("made", plan(tenants, cells, true, new SplittableRandom(seed)))
                        .plan());
        long startNanos = System.nanoTime();
        int greedy = PlacementCost.of(problem, GreedyPlacement.search(problem, 100));
        long searchedNanos = System.nanoTime();
        PlacementProposal proposal = PlacementPlanner.propose(problem, 100, seconds, seed);
        long endNanos = System.nanoTime();
        figures.putObject("planner")
                .put("tenants", tenants)
                .put("cost_before", proposal.costBefore())
                .put("cost_greedy", greedy)
                .put("greedy_ms", (searchedNanos - startNanos) / NANOS_PER_MILLI)
                .put("cost", proposal.costAfter())
                .put("ms", (endNanos - searchedNanos) / NANOS_PER_MILLI)
                .put("moves", proposal.migrations().size())
                .put("peak_before", proposal.peakBefore())
                .put("peak_after", proposal.peakAfter())
                .put("optimal", proposal.optimal());
    }
}
