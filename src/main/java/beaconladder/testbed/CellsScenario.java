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
 * The scenario of cells: usual clients at several routers, a flood in one cell, and moves that are interrupted by a
 * script drawn from the seed; judged by what clients and hosts saw.
 */
public final class CellsScenario {
    /** What may happen to a move. */
    public enum Fault {
        NONE,
        KILL_ROUTER,
        KILL_KEEPER,
        STALL_ROUTER,
        CUT_ROUTER,
        SOURCE_FAILS,
        TARGET_FAILS,
        LOST_TAIL,
        SECOND_MOVE,
        UNDO,
        RELOAD,
        LOSE_ANSWERS,
        DRAIN
    }

    /** In which state of the move it happens. */
    private static final List<String> STATES = List.of("copying", "fenced", "sealed", "switched");

    private static final Set<Fault> IN_THE_FENCE = EnumSet.of(
            Fault.SOURCE_FAILS,
            Fault.TARGET_FAILS,
            Fault.LOST_TAIL,
            Fault.KILL_ROUTER,
            Fault.KILL_KEEPER,
            Fault.UNDO,
            Fault.SECOND_MOVE,
            Fault.RELOAD);
    /** Other cells' service may move so much for a flood. */
    private static final double FLOOD_LIMIT = 0.01;

    private static final int WINDOW_MILLIS = 3_000;
    /** A flood is so many times what its cell is usually asked. */
    private static final int FLOOD_TIMES = 20;

    private static final int SLOW_MILLIS = 250;
    private static final int BUSY_SESSIONS = 4;
    private static final int MOVE_MILLIS = 25_000;
    private static final int HEAL_MILLIS = 1_200;

    /** How large it is. */
    public record Size(int cells, int tenants, int routers, int clients, int restMillis, int moves) {
        public static final Size FULL = new Size(8, 200, 4, 64, 60, 5);
        public static final Size SMALL = new Size(3, 24, 2, 16, 40, 3);
    }

    /** A step of the script. */
    private record Planned(Fault fault, String at, int router, String tenant, String to) {}

    private final Size size;
    private final long seed;
    private final PrintWriter out;
    private final SplittableRandom chance;
    private final InvariantChecker judge = new InvariantChecker();
    private final List<Long> fences = new ArrayList<>();
    private final List<Long> recoveries = new ArrayList<>();
    private final Map<String, Integer> ends = new TreeMap<>();
    private final Map<String, Integer> hit = new TreeMap<>();
    private final List<InvariantChecker.Broken> broken = new ArrayList<>();
    private TestDeployment installation;
    private int[] homes;

    public CellsScenario(Size size, long seed, PrintWriter out) {
        this.size = size;
        this.seed = seed;
        this.out = out;
        this.chance = new SplittableRandom(seed);
    }

    /**
     * Plays it.
     *
     * @param faults from which the script is drawn
     * @param withFlood whether a tenant floods as well
     * @return whether every rule held
     */
    public boolean play(List<Fault> faults, boolean withFlood) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("rehearsal");
        long started = System.currentTimeMillis();
        ObjectNode figures = new ObjectMapper().createObjectNode();
        figures.put("rehearsal", "cells")
                .put("seed", seed)
                .put("cells", size.cells())
                .put("tenants", size.tenants())
                .put("routers", size.routers());
        try (TestDeployment all = new TestDeployment(folder, size.cells(), 1, 3, size.routers(), 15, tenants())) {
            installation = all;
            List<String> names = new ArrayList<>();
            homes = new int[size.tenants()];
            int[] groups = new int[size.tenants()];
            for (int i = 0; i < size.tenants(); i++) {
                names.add(name(i));
                homes[i] = i % size.cells();
                groups[i] = homes[i];
            }
            try (ClientLoad load = new ClientLoad(
                    judge, all, names, homes, groups, "k", size.clients(), size.restMillis(), chance.nextLong())) {
                load.await(1_500);
                if (withFlood) {
                    flood(figures);
                }
                List<Planned> script = script(faults);
                for (Planned step : script) {
                    move(step);
                }
                Thread.sleep(500);
            }
            // Replicas catch up before the last look.
            Thread.sleep(300);
            broken.addAll(judge.broken(all.ground, group -> group));
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                if (broken.isEmpty()) {
                    files.sorted(Comparator.reverseOrder())
                            .forEach(file -> file.toFile().delete());
                } else {
                    out.println("the programs' logs are in " + folder);
                }
            }
        }
        report(figures, System.currentTimeMillis() - started);
        return broken.isEmpty();
    }

    /** The last tenth are not stated: their keys are spread. */
    private String name(int i) {
        return i >= size.tenants() * 9 / 10 ? InvariantChecker.SPREAD + i : "t" + i;
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

    private List<Planned> script(List<Fault> faults) {
        List<Planned> script = new ArrayList<>();
        // Each move takes another tenant, so that none comes back to a cell that it has left.
        for (int i = 0; i < size.moves(); i++) {
            int tenant = 1 + i;
            int to = (tenant % size.cells() + 1 + chance.nextInt(size.cells() - 1)) % size.cells();
            script.add(new Planned(
                    faults.get(chance.nextInt(faults.size())),
                    STATES.get(chance.nextInt(STATES.size())),
                    chance.nextInt(size.routers()),
                    "t" + tenant,
                    "c" + to));
        }
        return script;
    }

    // ---- The flood ----------------------------------------------------------------------------------------

    private void flood(ObjectNode figures) throws InterruptedException {
        Flood.Kind kind = Flood.Kind.values()[chance.nextInt(Flood.Kind.values().length)];
        boolean[] others = InvariantChecker.all(size.cells());
        others[0] = false;
        boolean[] own = new boolean[size.cells()];
        own[0] = true;
        long from = System.currentTimeMillis();
        Thread.sleep(WINDOW_MILLIS);
        long middle = System.currentTimeMillis();
        int usual = Math.max(10, (int) (judge.asked.stream()
                        .filter(t -> t.sent() >= from && t.cell() == 0)
                        .count()
                * 1_000
                / WINDOW_MILLIS));
        long served;
        long declined;
        // Its hosts are slow, so that what is asked piles up in the routers.
        installation.ground.members(0).forEach(member -> member.delayMillis = SLOW_MILLIS);
        try (Flood flood = new Flood(installation, kind, "t0", 0, FLOOD_TIMES * usual)) {
            Thread.sleep(WINDOW_MILLIS);
            served = flood.served();
            declined = flood.declined();
        }
        installation.ground.members(0).forEach(member -> member.delayMillis = 0);
        long to = System.currentTimeMillis();
        double without = judge.service(from, middle, others);
        double with = judge.service(middle, to, others);
        ObjectNode node = figures.putObject("flood")
                .put("kind", kind.name().toLowerCase(java.util.Locale.ROOT))
                .put("asked_per_second", FLOOD_TIMES * usual)
                .put("served", served)
                .put("declined", declined);
        node.put("others_without", round(without))
                .put("others_with", round(with))
                .put("own_without", round(judge.service(from, middle, own)))
                .put("own_with", round(judge.service(middle, to, own)))
                .put("others_p99_without_ms", judge.quantile(0.99, from, middle, others))
                .put("others_p99_with_ms", judge.quantile(0.99, middle, to, others));
        out.printf(
                "flood %s: other cells %.4f to %.4f, its own %.3f to %.3f%n",
                kind, without, with, judge.service(from, middle, own), judge.service(middle, to, own));
        if (without - with > FLOOD_LIMIT) {
            broken.add(new InvariantChecker.Broken("a flood cost other cells service", 1, without + " to " + with));
        }
        Thread.sleep(500);
    }

    private static double round(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }

    // ---- Moves and what injector them ----------------------------------------------------------------------

    /** A move, with sessions of its tenant that write and read without rest, at one router and another. */
    private void move(Planned step) throws IOException, InterruptedException {
        int home = Integer.parseInt(step.tenant().substring(1)) % size.cells();
        try (ClientLoad busy = new ClientLoad(
                judge,
                installation,
                List.of(step.tenant()),
                new int[] {home},
                new int[] {home},
                "m" + step.tenant() + "-",
                BUSY_SESSIONS,
                2,
                chance.nextLong())) {
            busy.await(200);
            moves(step);
        }
    }

    private void moves(Planned step) throws IOException, InterruptedException {
        String from = "c" + Integer.parseInt(step.tenant().substring(1)) % size.cells();
        int source = Integer.parseInt(from.substring(1));
        int target = Integer.parseInt(step.to().substring(1));
        if (step.fault() == Fault.LOSE_ANSWERS) {
            installation.ground.primary(source).loseAnswers.set(5);
        }
        // A router that does not hear holds the fence up for the rest of its lease and an expiry: time to
        // fail in.
        Relay silent = step.at().equals("fenced") && IN_THE_FENCE.contains(step.fault())
                ? installation.relays.get((step.router() + 1) % size.routers())
                : null;
        if (silent != null) {
            silent.cut();
        }
        installation.keeper("/v1/move?tenant=" + step.tenant() + "&to=" + step.to());
        long proposed = System.currentTimeMillis();
        long fenced = 0;
        long opened = 0;
        boolean done = step.fault() == Fault.NONE || step.fault() == Fault.LOSE_ANSWERS;
        String at = "";
        Thread injector = null;
        String state = "proposed";
        while (System.currentTimeMillis() < proposed + MOVE_MILLIS) {
            try {
                state = installation.state(step.tenant());
            } catch (IOException e) {
                // The keeper is away for now.
                Thread.sleep(5);
                continue;
            }
            boolean over = state.equals("done") || state.equals("undone");
            long now = System.currentTimeMillis();
            fenced = fenced == 0 && (state.equals("fenced") || state.equals("sealed")) ? now : fenced;
            opened = opened == 0 && fenced > 0 && (state.equals("switched") || over) ? now : opened;
            if (!done && (over || STATES.indexOf(state) >= STATES.indexOf(step.at()))) {
                done = true;
                at = state;
                injector = StandInThreads.spawn(() -> inject(step, source, target));
            }
            if (over) {
                break;
            }
            Thread.sleep(2);
        }
        if (injector != null) {
            injector.join(20_000);
        }
        if (silent != null) {
            silent.mend();
        }
        if (fenced > 0 && opened > 0) {
            fences.add(opened - fenced);
        }
        ends.merge(state, 1, Integer::sum);
        hit.merge(
                step.fault().name().toLowerCase(java.util.Locale.ROOT) + (at.isEmpty() ? "" : " at " + at),
                1,
                Integer::sum);
        String lives = installation.cellOf(step.tenant());
        String why = TestDeployment.ended(installation.keeper("/v1/cells"), step.tenant(), "why");
        out.printf(
                "move %s %s to %s, %s%s: %s%s, fence %d ms, %d ms in all%n",
                step.tenant(),
                from,
                step.to(),
                step.fault(),
                at.isEmpty() ? "" : " at " + at,
                state,
                why.equals("null") || why.equals("none") ? "" : " (" + why + ")",
                fenced == 0 ? 0 : opened - fenced,
                System.currentTimeMillis() - proposed);
        if (!state.equals("done") && !state.equals("undone")) {
            broken.add(new InvariantChecker.Broken("a move did not end", 1, step + " stands at " + state));
        } else if (!lives.equals(state.equals("done") ? step.to() : from)) {
            broken.add(new InvariantChecker.Broken("a move ended where it should not", 1, step + " lives in " + lives));
        }
        Thread.sleep(300);
    }

    private void inject(Planned step, int source, int target) throws IOException {
        try {
            int router = step.router();
            switch (step.fault()) {
                case KILL_ROUTER -> killRouter(router);
                case KILL_KEEPER -> {
                    installation.keeper.kill();
                    long from = System.currentTimeMillis();
                    installation.keeper.start();
                    while (!answers()) {
                        Thread.sleep(5);
                    }
                    recoveries.add(System.currentTimeMillis() - from);
                }
                case STALL_ROUTER -> {
                    installation.setImpaired(router, true);
                    installation.routers.get(router).signal("STOP");
                    Thread.sleep(TestDeployment.LEASE_MILLIS + 1_600);
                    installation.routers.get(router).signal("CONT");
                    Thread.sleep(200);
                    installation.setImpaired(router, false);
                }
                case CUT_ROUTER -> {
                    installation.relays.get(router).cut();
                    Thread.sleep(TestDeployment.LEASE_MILLIS + HEAL_MILLIS);
                    installation.relays.get(router).mend();
                }
                case SOURCE_FAILS -> fail(source, false);
                case TARGET_FAILS -> fail(target, false);
                case LOST_TAIL -> fail(source, true);
                case SECOND_MOVE -> refused("/v1/move?tenant=" + step.tenant() + "&to=" + step.to(), "a second move");
                case UNDO -> {
                    try {
                        installation.keeper("/v1/undo?tenant=" + step.tenant());
                    } catch (IllegalStateException e) {
                        // It has switched or ended: that is told, and it stays.
                    }
                }
                case RELOAD -> {
                    installation.keeper.signal("HUP");
                    for (ChildProcesses.Program each : installation.routers) {
                        each.signal("HUP");
                    }
                }
                case DRAIN -> {
                    ReplicatedHost draining = installation.ground.replica(source);
                    installation.ground.list(draining.id, "Terminating");
                }
                default -> {}
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean answers() {
        try {
            installation.keeper("/v1/cells");
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void refused(String path, String what) throws IOException {
        try {
            installation.keeper(path);
            broken.add(new InvariantChecker.Broken(what + " of one tenant at a time was taken", 1, path));
        } catch (IllegalStateException e) {
            // As it should be.
        }
    }

    private void killRouter(int router) throws IOException, InterruptedException {
        installation.setImpaired(router, true);
        installation.routers.get(router).kill();
        long from = System.currentTimeMillis();
        Thread.sleep(200);
        installation.routers.get(router).start();
        installation.ready(router);
        installation.setImpaired(router, false);
        recoveries.add(System.currentTimeMillis() - from);
    }

    /** The primary of a group dies; another takes over, and it comes back as a replica. */
    private void fail(int group, boolean losesTail) throws IOException, InterruptedException {
        ReplicatedHost old = installation.ground.primary(group);
        if (losesTail) {
            installation.ground.members(group).forEach(m -> m.deaf = true);
            Thread.sleep(250);
        }
        old.crash();
        Thread.sleep(300);
        installation.ground.failOver(group);
        installation.ground.members(group).forEach(m -> m.deaf = false);
        Thread.sleep(HEAL_MILLIS);
        old.restart();
    }

    // ---- The figures --------------------------------------------------------------------------------------

    private void report(ObjectNode figures, long millis) {
        Map<String, Long> answers = new LinkedHashMap<>();
        for (End end : End.values()) {
            answers.put(
                    end.name().toLowerCase(java.util.Locale.ROOT),
                    judge.asked.stream().filter(t -> t.end() == end).count());
        }
        figures.put("txns", judge.asked.size());
        ObjectNode all = figures.putObject("answers");
        answers.forEach(all::put);
        long[] times = judge.asked.stream()
                .filter(t -> t.end() == End.COMMITTED)
                .mapToLong(t -> t.answered() - t.sent())
                .sorted()
                .toArray();
        figures.put("median_ms", times.length == 0 ? 0 : times[times.length / 2]);
        figures.put(
                "declined_by_moves",
                judge.asked.stream().filter(CellsScenario::byMove).count());
        figures.put("double_runs", count("a once-only txn ran twice"))
                .put("stale_reads", count("a stale read"))
                .put("wrong_cell", count("a write in the wrong cell"))
                .put("lost", count("a committed write is lost"));
        ObjectNode moves = figures.putObject("moves");
        ends.forEach(moves::put);
        ObjectNode faults = figures.putObject("faults");
        hit.forEach(faults::put);
        long[] fence = fences.stream().mapToLong(Long::longValue).sorted().toArray();
        figures.put("fence_median_ms", fence.length == 0 ? 0 : fence[fence.length / 2])
                .put("fence_longest_ms", fence.length == 0 ? 0 : fence[fence.length - 1]);
        figures.put(
                "recovery_longest_ms",
                recoveries.stream().mapToLong(Long::longValue).max().orElse(0));
        double[] service = new double[size.cells()];
        for (int cell = 0; cell < size.cells(); cell++) {
            boolean[] one = new boolean[size.cells()];
            one[cell] = true;
            service[cell] = round(judge.service(0, Long.MAX_VALUE, one));
        }
        figures.put("service_least", Arrays.stream(service).min().orElse(1))
                .put("service_most", Arrays.stream(service).max().orElse(1));
        figures.put("machine_busy_ms", judge.busyMillis());
        figures.put("seconds", millis / 1_000).put("held", broken.isEmpty());
        for (InvariantChecker.Broken each : broken) {
            out.printf("BROKEN: %s, %d times: %s%n", each.rule(), each.times(), each.example());
        }
        out.println(figures);
        out.flush();
    }

    private static boolean byMove(Asked txn) {
        return txn.end() == End.DECLINED && (txn.message().contains("moved"));
    }

    private int count(String rule) {
        return broken.stream()
                .filter(b -> b.rule().equals(rule))
                .mapToInt(InvariantChecker.Broken::times)
                .sum();
    }
}
