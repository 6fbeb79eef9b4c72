package beaconladder.testbed;

import beaconladder.testbed.InvariantChecker.Asked;
import beaconladder.testbed.InvariantChecker.End;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Runs clients at several routers, a flood in one cell, and migrations that a fault script drawn from the seed
 * interrupts, and checks what clients and hosts saw.
 */
public final class CellsScenario {
    /** Faults that may be injected during a migration. */
    public enum Fault {
        /** No fault. */
        NONE,
        /** A router is killed, and restarted. */
        KILL_ROUTER,
        /** The coordinator is killed, and restarted. */
        KILL_KEEPER,
        /** A router is paused for longer than its lease. */
        STALL_ROUTER,
        /** A router is cut off from the coordinator for longer than its lease. */
        CUT_ROUTER,
        /** The primary of the source cell crashes, and another host takes over. */
        SOURCE_FAILS,
        /** The primary of the target cell crashes, and another host takes over. */
        TARGET_FAILS,
        /** The primary of the source cell crashes with writes that its replicas have not received. */
        LOST_TAIL,
        /** A second migration of the same tenant is requested, and has to be rejected. */
        SECOND_MOVE,
        /** An operator undoes the migration. */
        UNDO,
        /** The coordinator and all routers reload their plans. */
        RELOAD,
        /** The source's primary loses some of its answers. */
        LOSE_ANSWERS,
        /** A replica of the source cell drains. */
        DRAIN
    }

    /** States of a migration in which a fault may be injected, in their order. */
    private static final List<String> STATES = List.of("copying", "fenced", "sealed", "switched");

    /** Faults that need a longer fence to be injected while it is up. */
    private static final Set<Fault> DURING_FENCE = EnumSet.of(
            Fault.SOURCE_FAILS,
            Fault.TARGET_FAILS,
            Fault.LOST_TAIL,
            Fault.KILL_ROUTER,
            Fault.KILL_KEEPER,
            Fault.UNDO,
            Fault.SECOND_MOVE,
            Fault.RELOAD);
    /** By how much a flood may reduce the share of transactions served in other cells. */
    private static final double MAX_SERVICE_LOSS = 0.01;

    private static final int FLOOD_WINDOW_MILLIS = 3_000;
    /** Rate of a flood as a multiple of its cell's usual rate. */
    private static final int FLOOD_MULTIPLE = 20;

    private static final int SLOW_HOST_MILLIS = 250;
    private static final int BUSY_SESSIONS = 4;
    private static final int MOVE_TIMEOUT_MILLIS = 25_000;
    private static final int RECOVERY_MILLIS = 1_200;

    /** Size of the deployment, its load, and the number of migrations. */
    public record Size(int cells, int tenants, int routers, int clients, int pauseMillis, int moves) {
        public static final Size FULL = new Size(8, 200, 4, 64, 60, 5);
        public static final Size SMALL = new Size(3, 24, 2, 16, 40, 3);
    }

    /** A migration of the script: its fault, and the state in which the fault is injected. */
    private record PlannedMove(Fault fault, String faultState, int router, String tenant, String to) {}

    private final Size size;
    private final long seed;
    private final PrintWriter out;
    private final SplittableRandom random;
    private final InvariantChecker checker = new InvariantChecker();
    private final List<Long> fenceMillis = new ArrayList<>();
    private final List<Long> recoveryMillis = new ArrayList<>();
    private final Map<String, Integer> movesByEnd = new TreeMap<>();
    private final Map<String, Integer> movesByFault = new TreeMap<>();
    private final List<InvariantChecker.Violation> violations = new ArrayList<>();
    private TestDeployment deployment;
    private int[] homeCells;

    public CellsScenario(Size size, long seed, PrintWriter out) {
        this.size = size;
        this.seed = seed;
        this.out = out;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Runs the scenario and prints the violations and figures.
     *
     * @param faults the faults from which the script is drawn
     * @param withFlood whether one tenant also floods its cell
     * @return whether there was no violation
     */
    public boolean run(List<Fault> faults, boolean withFlood) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("rehearsal");
        long startedMillis = System.currentTimeMillis();
        ObjectNode figures = new ObjectMapper().createObjectNode();
        figures.put("rehearsal", "cells")
                .put("seed", seed)
                .put("cells", size.cells())
                .put("tenants", size.tenants())
                .put("routers", size.routers());
        try (TestDeployment all = new TestDeployment(folder, size.cells(), 1, 3, size.routers(), 15, tenants())) {
            deployment = all;
            List<String> names = new ArrayList<>();
            homeCells = new int[size.tenants()];
            int[] groups = new int[size.tenants()];
            for (int i = 0; i < size.tenants(); i++) {
                names.add(name(i));
                homeCells[i] = i % size.cells();
                groups[i] = homeCells[i];
            }
            try (ClientLoad load = new ClientLoad(
                    checker,
                    all,
                    names,
                    homeCells,
                    groups,
                    "k",
                    size.clients(),
                    size.pauseMillis(),
                    random.nextLong())) {
                load.await(1_500);
                if (withFlood) {
                    flood(figures);
                }
                List<PlannedMove> script = script(faults);
                for (PlannedMove step : script) {
                    runMove(step);
                }
                Thread.sleep(500);
            }
            // Lets replicas catch up before the check.
            Thread.sleep(300);
            violations.addAll(checker.findViolations(all.ground, group -> group));
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                if (violations.isEmpty()) {
                    files.sorted(Comparator.reverseOrder())
                            .forEach(file -> file.toFile().delete());
                } else {
                    out.println("logs are in " + folder);
                }
            }
        }
        report(figures, System.currentTimeMillis() - startedMillis);
        return violations.isEmpty();
    }

    /** Names a tenant; the plan does not list the last tenth, whose keys are spread over cells. */
    private String name(int i) {
        return i >= size.tenants() * 9 / 10 ? InvariantChecker.SPREAD_TENANT_PREFIX + i : "t" + i;
    }

    private String tenants() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < size.tenants() * 9 / 10; i++) {
            text.append("(tenant t")
                    .append(i)
                    .append(" (cell c")
                    .append(i % size.cells())
                    .append(")")
                    .append(i == 0 ? " (share 20%)" : "")
                    .append(")\n");
        }
        return text + "(others (spread 2) (share 20%))\n";
    }

    private List<PlannedMove> script(List<Fault> faults) {
        List<PlannedMove> script = new ArrayList<>();
        // Each migration moves another tenant, so that none returns to a cell that it left.
        for (int i = 0; i < size.moves(); i++) {
            int tenant = 1 + i;
            int to = (tenant % size.cells() + 1 + random.nextInt(size.cells() - 1)) % size.cells();
            script.add(new PlannedMove(
                    faults.get(random.nextInt(faults.size())),
                    STATES.get(random.nextInt(STATES.size())),
                    random.nextInt(size.routers()),
                    "t" + tenant,
                    "c" + to));
        }
        return script;
    }

    // ---- The flood ----------------------------------------------------------------------------------------

    private void flood(ObjectNode figures) throws InterruptedException {
        Flood.Kind kind = Flood.Kind.values()[random.nextInt(Flood.Kind.values().length)];
        boolean[] others = InvariantChecker.allCells(size.cells());
        others[0] = false;
        boolean[] own = new boolean[size.cells()];
        own[0] = true;
        long fromMillis = System.currentTimeMillis();
        Thread.sleep(FLOOD_WINDOW_MILLIS);
        long floodStartMillis = System.currentTimeMillis();
        int usualPerSecond = Math.max(10, (int) (checker.asked.stream()
                        .filter(t -> t.sentMillis() >= fromMillis && t.cell() == 0)
                        .count()
                * 1_000
                / FLOOD_WINDOW_MILLIS));
        long served;
        long declined;
        // Slow hosts make requests queue up in the routers.
        deployment.ground.members(0).forEach(member -> member.delayMillis = SLOW_HOST_MILLIS);
        try (Flood flood = new Flood(deployment, kind, "t0", 0, FLOOD_MULTIPLE * usualPerSecond)) {
            Thread.sleep(FLOOD_WINDOW_MILLIS);
            served = flood.served();
            declined = flood.declined();
        }
        deployment.ground.members(0).forEach(member -> member.delayMillis = 0);
        long toMillis = System.currentTimeMillis();
        double servedBefore = checker.servedShare(fromMillis, floodStartMillis, others);
        double servedDuring = checker.servedShare(floodStartMillis, toMillis, others);
        ObjectNode node = figures.putObject("flood")
                .put("kind", kind.name().toLowerCase(java.util.Locale.ROOT))
                .put("asked_per_second", FLOOD_MULTIPLE * usualPerSecond)
                .put("served", served)
                .put("declined", declined);
        node.put("others_without", round(servedBefore))
                .put("others_with", round(servedDuring))
                .put("own_without", round(checker.servedShare(fromMillis, floodStartMillis, own)))
                .put("own_with", round(checker.servedShare(floodStartMillis, toMillis, own)))
                .put("others_p99_without_ms", checker.quantile(0.99, fromMillis, floodStartMillis, others))
                .put("others_p99_with_ms", checker.quantile(0.99, floodStartMillis, toMillis, others));
        out.printf(
                "flood %s: other cells %.4f to %.4f, its own %.3f to %.3f%n",
                kind,
                servedBefore,
                servedDuring,
                checker.servedShare(fromMillis, floodStartMillis, own),
                checker.servedShare(floodStartMillis, toMillis, own));
        if (servedBefore - servedDuring > MAX_SERVICE_LOSS) {
            violations.add(new InvariantChecker.Violation(
                    "a flood reduced the service of other cells", 1, servedBefore + " to " + servedDuring));
        }
        Thread.sleep(500);
    }

    private static double round(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }

    // ---- Migrations and their faults ----------------------------------------------------------------------

    /** Migrates a tenant while sessions of it write and read continuously at several routers. */
    private void runMove(PlannedMove step) throws IOException, InterruptedException {
        int home = Integer.parseInt(step.tenant().substring(1)) % size.cells();
        try (ClientLoad busy = new ClientLoad(
                checker,
                deployment,
                List.of(step.tenant()),
                new int[] {home},
                new int[] {home},
                "m" + step.tenant() + "-",
                BUSY_SESSIONS,
                2,
                random.nextLong())) {
            busy.await(200);
            awaitMove(step);
        }
    }

    private void awaitMove(PlannedMove step) throws IOException, InterruptedException {
        String from = "c" + Integer.parseInt(step.tenant().substring(1)) % size.cells();
        int source = Integer.parseInt(from.substring(1));
        int target = Integer.parseInt(step.to().substring(1));
        if (step.fault() == Fault.LOSE_ANSWERS) {
            deployment.ground.primary(source).loseAnswers.set(5);
        }
        // A router cut off from the coordinator prolongs the fence by the rest of its lease and an expiry, which
        // leaves time to inject the fault.
        Relay cutRelay = step.faultState().equals("fenced") && DURING_FENCE.contains(step.fault())
                ? deployment.relays.get((step.router() + 1) % size.routers())
                : null;
        if (cutRelay != null) {
            cutRelay.cut();
        }
        deployment.keeper("/v1/move?tenant=" + step.tenant() + "&to=" + step.to());
        long proposedMillis = System.currentTimeMillis();
        long fencedMillis = 0;
        long fenceLiftedMillis = 0;
        boolean injected = step.fault() == Fault.NONE || step.fault() == Fault.LOSE_ANSWERS;
        String injectedState = "";
        Thread injector = null;
        String state = "proposed";
        while (System.currentTimeMillis() < proposedMillis + MOVE_TIMEOUT_MILLIS) {
            try {
                state = deployment.state(step.tenant());
            } catch (IOException e) {
                // The coordinator is restarting.
                Thread.sleep(5);
                continue;
            }
            boolean ended = state.equals("done") || state.equals("undone");
            long nowMillis = System.currentTimeMillis();
            fencedMillis =
                    fencedMillis == 0 && (state.equals("fenced") || state.equals("sealed")) ? nowMillis : fencedMillis;
            fenceLiftedMillis = fenceLiftedMillis == 0 && fencedMillis > 0 && (state.equals("switched") || ended)
                    ? nowMillis
                    : fenceLiftedMillis;
            if (!injected && (ended || STATES.indexOf(state) >= STATES.indexOf(step.faultState()))) {
                injected = true;
                injectedState = state;
                injector = StandInThreads.spawn(() -> inject(step, source, target));
            }
            if (ended) {
                break;
            }
            Thread.sleep(2);
        }
        if (injector != null) {
            injector.join(20_000);
        }
        if (cutRelay != null) {
            cutRelay.mend();
        }
        if (fencedMillis > 0 && fenceLiftedMillis > 0) {
            fenceMillis.add(fenceLiftedMillis - fencedMillis);
        }
        movesByEnd.merge(state, 1, Integer::sum);
        movesByFault.merge(
                step.fault().name().toLowerCase(java.util.Locale.ROOT)
                        + (injectedState.isEmpty() ? "" : " at " + injectedState),
                1,
                Integer::sum);
        String finalCell = deployment.cellOf(step.tenant());
        String why = TestDeployment.ended(deployment.keeper("/v1/cells"), step.tenant(), "why");
        out.printf(
                "move %s %s to %s, %s%s: %s%s, fence %d ms, %d ms in all%n",
                step.tenant(),
                from,
                step.to(),
                step.fault(),
                injectedState.isEmpty() ? "" : " at " + injectedState,
                state,
                why.equals("null") || why.equals("none") ? "" : " (" + why + ")",
                fencedMillis == 0 ? 0 : fenceLiftedMillis - fencedMillis,
                System.currentTimeMillis() - proposedMillis);
        if (!state.equals("done") && !state.equals("undone")) {
            violations.add(new InvariantChecker.Violation("a move did not end", 1, step + " is in state " + state));
        } else if (!finalCell.equals(state.equals("done") ? step.to() : from)) {
            violations.add(new InvariantChecker.Violation(
                    "a move ended where it should not", 1, step + " is in cell " + finalCell));
        }
        Thread.sleep(300);
    }

    private void inject(PlannedMove step, int source, int target) throws IOException {
        try {
            int router = step.router();
            switch (step.fault()) {
                case KILL_ROUTER -> killRouter(router);
                case KILL_KEEPER -> {
                    deployment.keeper.kill();
                    long startMillis = System.currentTimeMillis();
                    deployment.keeper.start();
                    while (!coordinatorResponds()) {
                        Thread.sleep(5);
                    }
                    recoveryMillis.add(System.currentTimeMillis() - startMillis);
                }
                case STALL_ROUTER -> {
                    deployment.setImpaired(router, true);
                    deployment.routers.get(router).signal("STOP");
                    Thread.sleep(TestDeployment.LEASE_MILLIS + 1_600);
                    deployment.routers.get(router).signal("CONT");
                    Thread.sleep(200);
                    deployment.setImpaired(router, false);
                }
                case CUT_ROUTER -> {
                    deployment.relays.get(router).cut();
                    Thread.sleep(TestDeployment.LEASE_MILLIS + RECOVERY_MILLIS);
                    deployment.relays.get(router).mend();
                }
                case SOURCE_FAILS -> failOver(source, false);
                case TARGET_FAILS -> failOver(target, false);
                case LOST_TAIL -> failOver(source, true);
                case SECOND_MOVE ->
                    expectRejected("/v1/move?tenant=" + step.tenant() + "&to=" + step.to(), "a second move");
                case UNDO -> {
                    try {
                        deployment.keeper("/v1/undo?tenant=" + step.tenant());
                    } catch (IllegalStateException e) {
                        // The migration has switched or ended already, so the undo is rejected.
                    }
                }
                case RELOAD -> {
                    deployment.keeper.signal("HUP");
                    for (ChildProcesses.Program each : deployment.routers) {
                        each.signal("HUP");
                    }
                }
                case DRAIN -> {
                    ReplicatedHost draining = deployment.ground.replica(source);
                    deployment.ground.list(draining.id, "Terminating");
                }
                default -> {}
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean coordinatorResponds() {
        try {
            deployment.keeper("/v1/cells");
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void expectRejected(String path, String what) throws IOException {
        try {
            deployment.keeper(path);
            violations.add(
                    new InvariantChecker.Violation(what + " of a tenant during its migration was accepted", 1, path));
        } catch (IllegalStateException e) {
            // Expected.
        }
    }

    private void killRouter(int router) throws IOException, InterruptedException {
        deployment.setImpaired(router, true);
        deployment.routers.get(router).kill();
        long startMillis = System.currentTimeMillis();
        Thread.sleep(200);
        deployment.routers.get(router).start();
        deployment.ready(router);
        deployment.setImpaired(router, false);
        recoveryMillis.add(System.currentTimeMillis() - startMillis);
    }

    /** Crashes the primary of a group, promotes another host, and restarts the old primary as a replica. */
    private void failOver(int group, boolean losesRecentWrites) throws IOException, InterruptedException {
        ReplicatedHost old = deployment.ground.primary(group);
        if (losesRecentWrites) {
            deployment.ground.members(group).forEach(m -> m.deaf = true);
            Thread.sleep(250);
        }
        old.crash();
        Thread.sleep(300);
        deployment.ground.failOver(group);
        deployment.ground.members(group).forEach(m -> m.deaf = false);
        Thread.sleep(RECOVERY_MILLIS);
        old.restart();
    }

    // ---- The figures --------------------------------------------------------------------------------------

    private void report(ObjectNode figures, long millis) {
        Map<String, Long> answers = new LinkedHashMap<>();
        for (End end : End.values()) {
            answers.put(
                    end.name().toLowerCase(java.util.Locale.ROOT),
                    checker.asked.stream().filter(t -> t.end() == end).count());
        }
        figures.put("txns", checker.asked.size());
        ObjectNode all = figures.putObject("answers");
        answers.forEach(all::put);
        long[] times = checker.asked.stream()
                .filter(t -> t.end() == End.COMMITTED)
                .mapToLong(t -> t.answeredMillis() - t.sentMillis())
                .sorted()
                .toArray();
        figures.put("median_ms", times.length == 0 ? 0 : times[times.length / 2]);
        figures.put(
                "declined_by_moves",
                checker.asked.stream().filter(CellsScenario::isDeclinedForMove).count());
        figures.put("double_runs", count("a once-only txn ran twice"))
                .put("stale_reads", count("a stale read"))
                .put("wrong_cell", count("a write in the wrong cell"))
                .put("lost", count("a committed write is lost"));
        ObjectNode moves = figures.putObject("moves");
        movesByEnd.forEach(moves::put);
        ObjectNode faults = figures.putObject("faults");
        movesByFault.forEach(faults::put);
        long[] fence = fenceMillis.stream().mapToLong(Long::longValue).sorted().toArray();
        figures.put("fence_median_ms", fence.length == 0 ? 0 : fence[fence.length / 2])
                .put("fence_longest_ms", fence.length == 0 ? 0 : fence[fence.length - 1]);
        figures.put(
                "recovery_longest_ms",
                recoveryMillis.stream().mapToLong(Long::longValue).max().orElse(0));
        double[] service = new double[size.cells()];
        for (int cell = 0; cell < size.cells(); cell++) {
            boolean[] one = new boolean[size.cells()];
            one[cell] = true;
            service[cell] = round(checker.servedShare(0, Long.MAX_VALUE, one));
        }
        figures.put("service_least", Arrays.stream(service).min().orElse(1))
                .put("service_most", Arrays.stream(service).max().orElse(1));
        figures.put("machine_busy_ms", checker.delayedMillis());
        figures.put("seconds", millis / 1_000).put("held", violations.isEmpty());
        for (InvariantChecker.Violation each : violations) {
            out.printf("BROKEN: %s, %d times: %s%n", each.rule(), each.times(), each.example());
        }
        out.println(figures);
        out.flush();
    }

    private static boolean isDeclinedForMove(Asked txn) {
        return txn.end() == End.DECLINED && (txn.message().contains("moved"));
    }

    private int count(String rule) {
        return violations.stream()
                .filter(b -> b.rule().equals(rule))
                .mapToInt(InvariantChecker.Violation::times)
                .sum();
    }
}
