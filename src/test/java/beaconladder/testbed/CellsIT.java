package beaconladder.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.CellsScenario.Fault;
import beaconladder.testbed.CellsScenario.Size;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A small cell scenario with faults, and the command line as operators call it. */
@Timeout(120)
class CellsIT {
    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource({
        "1, KILL_KEEPER, true",
        "2, KILL_ROUTER, false",
        "3, STALL_ROUTER, false",
        "4, TARGET_FAILS, true",
        "5, SOURCE_FAILS, false"
    })
    void anInterruptedMigrationEndsAndEveryRuleHolds(long seed, Fault fault, boolean flood) throws Exception {
        StringWriter output = new StringWriter();
        Size size = new Size(3, 24, 2, 16, 40, 2);
        boolean passed = new CellsScenario(size, seed, new PrintWriter(output)).run(List.of(fault), flood);
        assertThat(passed).as(output.toString()).isTrue();
    }

    /** Bad input gets one clear line and changes nothing. */
    @Test
    void requestsWithoutAPlacementAreRejectedAtOnceAndAnInvalidPlanChangesNothing() throws Exception {
        String tenants = """
                (tenant t (cell c0)) (cell void (groups 99) (share 1%)) (tenant lost (cell void))
                (tenant far (cell c0) (networks 10.0.0.0/8)) (router n0 (serves c0 void))
                (tenant other (cell c1))
                """;
        try (TestDeployment all = new TestDeployment(folder, 2, 1, 2, 1, 5, tenants);
                ClientLoad.Line line = new ClientLoad.Line(all.port(0), 0)) {
            StringBuilder output = new StringBuilder();
            String[][] requests = {
                {"t", "0"}, {"t", "1"}, {"t", "7"}, {"lost", "99"}, {"far", "0"}, {"nobody", "0"}, {"other", "1"}
            };
            Thread.sleep(300);
            for (String[] request : requests) {
                line.send(ClientLoad.query(
                        "q" + output.length(), "any", request[0], "k", Integer.parseInt(request[1]), 0, 0, 900));
                assertThat(line.answer()).isTrue();
                output.append(String.join(" ", request))
                        .append(": ")
                        .append(line.code() == null ? "served" : line.code() + " " + line.message)
                        .append('\n');
            }
            assertThat(output.toString()).isEqualTo("""
                    t 0: served
                    t 1: served
                    t 7: 22023 group 7 is in no cell
                    lost 99: 53300 declined, as no host of the cell is known; it has not run
                    far 0: 22023 clients at this address don't speak for far
                    nobody 0: 22023 no cell takes tenant nobody
                    other 1: 53300 declined, as this router does not serve cell c1; it has not run
                    """);
            Path own = folder.resolve("router0.plan");
            String good = Files.readString(own);
            Files.writeString(own, good.replace("(tenant t (cell c0))", "(tenant t (cell c9))"));
            all.routers.get(0).signal("HUP");
            long until = System.currentTimeMillis() + 10_000;
            while (!all.routers.get(0).log().contains("no cell 'c9' is stated")) {
                assertThat(System.currentTimeMillis()).isLessThan(until);
                Thread.sleep(20);
            }
            assertThat(all.routers.get(0).log()).contains("not reloaded, the previous configuration stays in force");
            line.send(ClientLoad.query("after", "any", "t", "k", 0, 0, 0, 900));
            assertThat(line.answer()).isTrue();
            assertThat(line.code()).isNull();
        }
    }

    /** Each violation is found: a checker that missed one would let the scenario pass. */
    @Test
    void theCheckerFindsEachViolation() throws Exception {
        try (HostFleet fleet = new HostFleet(2, 1, 5)) {
            InvariantChecker checker = new InvariantChecker();
            fleet.ran.add(new HostFleet.Ran("w1", "t", "k", true, 1, 0, "h0-0", 1));
            fleet.ran.add(new HostFleet.Ran("w1", "t", "k", true, 1, 0, "h0-0", 2));
            fleet.ran.add(new HostFleet.Ran("w2", "t", "k", true, 2, 1, "h1-0", 3));
            fleet.ran.add(new HostFleet.Ran("w3", "t", "k", true, 3, 0, "h0-0", 4));
            fleet.reached.add(new HostFleet.Reached("h0-0", "w3", 10_000));
            fleet.draining.put("h0-0", 1L);
            checker.asked.add(asked("w1", "write", InvariantChecker.End.COMMITTED, 1, 0, false));
            checker.asked.add(asked("w2", "write", InvariantChecker.End.DECLINED, 2, 0, false));
            checker.asked.add(asked("w4", "write", InvariantChecker.End.COMMITTED, 4, 0, false));
            checker.asked.add(asked("r1", "own", InvariantChecker.End.COMMITTED, 1, 2, false));
            checker.asked.add(asked("r2", "any", InvariantChecker.End.COMMITTED, 9, 0, true));
            checker.asked.add(asked("r3", "any", InvariantChecker.End.NONE, -1, 0, false));
            assertThat(checker.findViolations(fleet, group -> group))
                    .extracting(InvariantChecker.Violation::rule)
                    .containsExactlyInAnyOrder(
                            "a once-only txn ran twice",
                            "a declined txn ran",
                            "a committed txn never ran",
                            "a stale read",
                            "a value that nobody wrote",
                            "more than one answer",
                            "no answer in time",
                            "a write in the wrong cell",
                            "new work at a draining host",
                            "a committed write is lost");
        }
    }

    private static InvariantChecker.Asked asked(
            String id, String type, InvariantChecker.End end, long version, long least, boolean extra) {
        return new InvariantChecker.Asked(
                id, "t", "k", type, 0, 0, 1, 2, 1_000, end, version, least, "w1", 4, false, extra, "");
    }

    @Test
    void theCommandLineReportsErrorsAndExitsWithTheirCode() throws Exception {
        Path plan = folder.resolve("router.plan");
        Files.writeString(plan, "(cell a (groups 0))\n(tenant t (cell b))\n");
        assertThat(run("check", plan.toString()))
                .isEqualTo("1 " + plan + ":2:17: no cell 'b' is stated; did you mean 'a'?\n");
        Files.writeString(
                plan,
                "(cell a (groups 0)) (cell b (groups 1)) (tenant t (cell a) (load 2txns/s))\n"
                        + "(tenant u (cell a) (load 2txns/s)) (keeper (at 127.0.0.1:" + ChildProcesses.freePort()
                        + ") (discovery 127.0.0.1:9) (store \"" + folder.resolve("store") + "\"))");
        assertThat(run("check", plan.toString())).startsWith("0 " + plan + " is good: 2 cells, 2 tenants, a keeper");
        assertThat(run("cells", "show", "--plan", plan.toString())).startsWith("1 beaconladder: no keeper answers at");
        assertThat(run("cells", "plan", "--plan", plan.toString()))
                .startsWith("0 (move t b)\n; 1 moves, ")
                .contains("; optimal;");
        assertThat(run("cells", "move", "t")).startsWith("2 Missing required parameter: 'CELL'");
        assertThat(run("nonsense")).startsWith("2 Unmatched argument at index 0: 'nonsense'");
        assertThat(run("lab", "cells", "--list")).startsWith("0 none\nkill_router\n");
        assertThat(run("serve", "--plan", plan.resolveSibling("none").toString()))
                .startsWith("1 beaconladder: BALANCER_CONFIG names no file");
    }

    private static String run(String... arguments) throws IOException, InterruptedException {
        java.util.ArrayList<String> command = new java.util.ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "beaconladder.app.Main"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().remove("BALANCER_CONFIG");
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        return process.exitValue() + " " + output;
    }
}
