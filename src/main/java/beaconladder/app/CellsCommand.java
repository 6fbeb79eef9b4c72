package beaconladder.app;

import beaconladder.cells.PlacementPlanner;
import beaconladder.cells.PlacementProblem;
import beaconladder.cells.PlacementProposal;
import beaconladder.coordinator.Coordinator;
import beaconladder.discovery.HttpFetcher;
import beaconladder.discovery.JsonReader;
import beaconladder.plan.Plan;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Cells: who lives where, and moves. */
@Command(
        name = "cells",
        mixinStandardHelpOptions = true,
        description = "Show cells, plan and make moves, or be the keeper that decides on them.",
        exitCodeList = {"0:done", "1:it could not be done, or the move was undone", "2:the call is wrong"},
        exitCodeListHeading = "Exit codes:%n")
final class CellsCommand implements Runnable {
    private static final int CALL_MILLIS = 5_000;
    private static final int LOOK_MILLIS = 50;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "one of keep, show, plan, move, undo belongs here");
    }

    @Command(
            name = "keep",
            mixinStandardHelpOptions = true,
            description = "Be the keeper: grant leases to routers and carry out moves, until a signal ends it.")
    int keep(@Mixin CheckCommand.PlanOption file) throws IOException, InterruptedException {
        Hangups hangups = new Hangups();
        Plan plan = CheckCommand.plan(file.file(), spec.commandLine());
        if (plan == null) {
            return 1;
        }
        Coordinator keeper = new Coordinator(file.file(), plan);
        hangups.run(keeper::reload);
        Runtime.getRuntime().addShutdownHook(new Thread(keeper::close));
        new CountDownLatch(1).await();
        return 0;
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Show who lives where, the routers, and the moves.")
    int show(@Mixin CheckCommand.PlanOption file) throws IOException {
        Plan plan = kept(file);
        if (plan == null) {
            return 1;
        }
        Map<?, ?> all = call(plan, "/v1/cells");
        PrintWriter out = spec.commandLine().getOut();
        out.println("placement " + all.get("version"));
        Map<?, ?> seats = (Map<?, ?>) all.get("seats");
        for (Plan.Cell cell : plan.cells()) {
            List<?> names = seats.entrySet().stream()
                    .filter(e -> cell.name().equals(e.getValue()))
                    .map(Map.Entry::getKey)
                    .limit(20)
                    .toList();
            out.printf(
                    "cell %s: groups %s, %.1f%%, tenants %s%s%n",
                    cell.name(), cell.groups(), 100 * cell.share(), names, names.size() == 20 ? " ..." : "");
        }
        ((Map<?, ?>) all.get("routers"))
                .forEach((name, millis) -> out.println("router " + name + ": heard "
                        + (String.valueOf(millis).equals("-1") ? "not since the keeper started" : millis + " ms ago")));
        for (Object each : (List<?>) all.get("moves")) {
            Map<?, ?> move = (Map<?, ?>) each;
            out.printf(
                    "move %s from %s to %s: %s, waits for %s%n",
                    move.get("tenant"), move.get("from"), move.get("to"), move.get("state"), move.get("waits_for"));
        }
        for (Object each : (List<?>) all.get("ended")) {
            Map<?, ?> move = (Map<?, ?>) each;
            out.printf(
                    "ended %s from %s to %s: %s%s%n",
                    move.get("tenant"),
                    move.get("from"),
                    move.get("to"),
                    move.get("state"),
                    move.get("why") == null ? "" : ", " + move.get("why"));
        }
        return 0;
    }

    @Command(
            name = "plan",
            mixinStandardHelpOptions = true,
            description = "Propose who should live where, and the moves to get there; nothing is changed.")
    int plan(
            @Mixin CheckCommand.PlanOption file,
            @Option(names = "--seconds", defaultValue = "10", description = "How long to think at the most.")
                    int seconds,
            @Option(names = "--seed", defaultValue = "1", description = "Same seed, same proposal.") long seed,
            @Option(names = "--moves", defaultValue = "20", description = "How many moves at the most.") int most,
            @Option(names = "--without", paramLabel = "CELL", description = "As if this cell were lost.") String lost) {
        Plan plan = CheckCommand.plan(file.file(), spec.commandLine());
        if (plan == null) {
            return 1;
        }
        if (seconds < 1 || seconds > 3600 || most < 0) {
            throw new ParameterException(spec.commandLine(), "--seconds is 1 to 3600, --moves 0 or more");
        }
        PlacementProblem problem = PlacementProblem.of(plan);
        PlacementProposal proposal =
                PlacementPlanner.propose(lost == null ? problem : problem.withoutCell(lost), most, seconds, seed);
        PrintWriter out = spec.commandLine().getOut();
        proposal.migrations().forEach(move -> out.println("(move " + move.tenant() + " " + move.toCell() + ")"));
        out.println("; " + proposal.summary());
        return proposal.found() ? 0 : 1;
    }

    @Command(name = "move", mixinStandardHelpOptions = true, description = "Move a tenant to another cell.")
    int move(
            @Mixin CheckCommand.PlanOption file,
            @Parameters(paramLabel = "TENANT") String tenant,
            @Parameters(paramLabel = "CELL") String to,
            @Option(names = "--no-wait", description = "Don't wait for its end.") boolean leave)
            throws IOException, InterruptedException {
        Plan plan = kept(file);
        if (plan == null) {
            return 1;
        }
        long from = System.currentTimeMillis();
        call(plan, "/v1/move?tenant=" + tenant + "&to=" + to);
        String last = "";
        while (!leave) {
            Map<?, ?> all = call(plan, "/v1/cells");
            Map<?, ?> under = find(all, "moves", tenant);
            if (under == null) {
                Map<?, ?> end = find(all, "ended", tenant);
                spec.commandLine()
                        .getOut()
                        .printf(
                                "%6d ms  %s%s%n",
                                System.currentTimeMillis() - from,
                                end == null ? "ended" : end.get("state"),
                                end == null || end.get("why") == null ? "" : ": " + end.get("why"));
                return end != null && "done".equals(end.get("state")) ? 0 : 1;
            }
            String now = under.get("state") + ", waits for " + under.get("waits_for");
            if (!now.equals(last)) {
                spec.commandLine().getOut().printf("%6d ms  %s%n", System.currentTimeMillis() - from, now);
                last = now;
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
        }
        return 0;
    }

    /** The last entry of this tenant. */
    private static Map<?, ?> find(Map<?, ?> all, String list, String tenant) {
        Map<?, ?> found = null;
        for (Object each : (List<?>) all.get(list)) {
            if (((Map<?, ?>) each).get("tenant").equals(tenant)) {
                found = (Map<?, ?>) each;
            }
        }
        return found;
    }

    @Command(name = "undo", mixinStandardHelpOptions = true, description = "Undo a move that has not switched.")
    int undo(@Mixin CheckCommand.PlanOption file, @Parameters(paramLabel = "TENANT") String tenant) throws IOException {
        Plan plan = kept(file);
        if (plan == null) {
            return 1;
        }
        call(plan, "/v1/undo?tenant=" + tenant);
        spec.commandLine().getOut().println("undone");
        return 0;
    }

    private Plan kept(CheckCommand.PlanOption file) throws IOException {
        Plan plan = CheckCommand.plan(file.file(), spec.commandLine());
        if (plan != null && plan.coordinator() == null) {
            throw new IOException(file.file() + " states no keeper");
        }
        return plan;
    }

    private static Map<?, ?> call(Plan plan, String path) throws IOException {
        try {
            Object answer =
                    JsonReader.parse(new HttpFetcher(plan.coordinator().address(), true).get(path, CALL_MILLIS));
            if (answer instanceof Map<?, ?> map) {
                if (map.get("error") != null) {
                    throw new IOException(String.valueOf(map.get("error")));
                }
                return map;
            }
        } catch (JsonReader.ParseException e) {
            throw new IOException("the keeper's answer can't be read: " + e.getMessage());
        } catch (java.net.ConnectException e) {
            throw new IOException("no keeper answers at " + plan.coordinator().address());
        }
        throw new IOException("the keeper's answer can't be read");
    }
}
