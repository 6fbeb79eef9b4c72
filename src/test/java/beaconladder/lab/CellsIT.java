package beaconladder.lab;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.lab.CellsRehearsal.Fault;
import beaconladder.lab.CellsRehearsal.Size;
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

/** The rehearsal of cells, small, and the command line as operators call it. */
@Timeout(120)
class CellsIT {
    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource({"1, KILL_KEEPER, true", "2, KILL_ROUTER, false", "3, STALL_ROUTER, false", "4, TARGET_FAILS, true",
        "5, SOURCE_FAILS, false"})
    void aMoveThatIsInterruptedEndsAndEveryRuleHolds(long seed, Fault fault, boolean flood) throws Exception {
        StringWriter said = new StringWriter();
        Size size = new Size(3, 24, 2, 16, 40, 2);
        boolean held = new CellsRehearsal(size, seed, new PrintWriter(said)).play(List.of(fault), flood);
        assertThat(held).as(said.toString()).isTrue();
    }

    /** What would be broken is seen: without this the rehearsal could not fail. */
    @Test
    void theJudgeSeesWhatIsBroken() throws Exception {
        try (Ground ground = new Ground(2, 1, 5)) {
            Judge judge = new Judge();
            ground.ran.add(new Ground.Ran("w1", "t", "k", true, 1, 0, "h0-0", 1));
            ground.ran.add(new Ground.Ran("w1", "t", "k", true, 1, 0, "h0-0", 2));
            ground.ran.add(new Ground.Ran("w2", "t", "k", true, 2, 1, "h1-0", 3));
            ground.ran.add(new Ground.Ran("w3", "t", "k", true, 3, 0, "h0-0", 4));
            ground.reached.add(new Ground.Reached("h0-0", "w3", 10_000));
            ground.draining.put("h0-0", 1L);
            judge.asked.add(asked("w1", "write", Judge.End.COMMITTED, 1, 0, false));
            judge.asked.add(asked("w2", "write", Judge.End.DECLINED, 2, 0, false));
            judge.asked.add(asked("w4", "write", Judge.End.COMMITTED, 4, 0, false));
            judge.asked.add(asked("r1", "own", Judge.End.COMMITTED, 1, 2, false));
            judge.asked.add(asked("r2", "any", Judge.End.COMMITTED, 9, 0, true));
            judge.asked.add(asked("r3", "any", Judge.End.NONE, -1, 0, false));
            assertThat(judge.broken(ground, group -> group)).extracting(Judge.Broken::rule).containsExactlyInAnyOrder(
                    "a once-only txn ran twice", "a declined txn ran", "a committed txn never ran", "a stale read",
                    "a value that nobody wrote", "more than one answer", "no answer in time",
                    "a write in the wrong cell", "new work at a draining host", "a committed write is lost");
        }
    }

    private static Judge.Asked asked(String id, String type, Judge.End end, long version, long least, boolean extra) {
        return new Judge.Asked(id, "t", "k", type, 0, 0, 1, 2, 1_000, end, version, least, "w1", 4, false, extra, "");
    }

    @Test
    void theCommandLineSaysWhatIsWrongAndEndsWithItsCode() throws Exception {
        Path plan = folder.resolve("router.plan");
        Files.writeString(plan, "(cell a (groups 0))\n(tenant t (cell b))\n");
        assertThat(run("check", plan.toString())).isEqualTo("1 " + plan
                + ":2:17: no cell 'b' is stated; did you mean 'a'?\n");
        Files.writeString(plan, "(cell a (groups 0)) (cell b (groups 1)) (tenant t (cell a) (load 2txns/s))\n"
                + "(tenant u (cell a) (load 2txns/s)) (keeper (at 127.0.0.1:" + Programs.freePort()
                + ") (discovery 127.0.0.1:9) (store \"" + folder.resolve("store") + "\"))");
        assertThat(run("check", plan.toString())).startsWith("0 " + plan + " is good: 2 cells, 2 tenants, a keeper");
        assertThat(run("cells", "show", "--plan", plan.toString())).startsWith("1 beaconladder: no keeper answers at");
        assertThat(run("cells", "plan", "--plan", plan.toString())).startsWith("0 (move t b)\n; 1 moves, ")
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
        String said = new String(process.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        return process.exitValue() + " " + said;
    }
}
