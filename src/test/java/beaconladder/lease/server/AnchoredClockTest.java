package beaconladder.lease.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.soak.FaultPlan;
import beaconladder.testbed.soak.FaultShim;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The clock of leases while the wall clock of its process is stepped. */
@Timeout(60)
class AnchoredClockTest {
    private static final long HOUR = 3_600_000_000_000L;
    private static final int LOOKS = 10;
    private static final int REST_MILLIS = 10;
    /** Between two looks lies a rest, on a busy machine. */
    private static final long LONGEST_REST = 2_000_000_000L;

    @TempDir
    Path folder;

    /** Says again and again what the clock shows. */
    public static void main(String[] args) throws InterruptedException {
        AnchoredClock clock = new AnchoredClock();
        while (true) {
            System.out.println(clock.getAsLong());
            Thread.sleep(REST_MILLIS);
        }
    }

    /** Seen in a rehearsal: 30 s back, and no lease ended for as long. */
    @Test
    void aSpanByItIsASpanOfRealTime() throws Exception {
        FaultPlan plan = new FaultPlan(folder.resolve("plan"));
        Path out = folder.resolve("out");
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        AnchoredClockTest.class.getName())
                .redirectErrorStream(true)
                .redirectOutput(out.toFile());
        builder.environment()
                .put("LD_PRELOAD", FaultShim.build(folder).library().toString());
        builder.environment().put("FAULT_SHIM_PLAN", plan.file().toString());
        Process process = builder.start();
        try {
            int looks = 0;
            for (long step : new long[] {0, -HOUR, 2 * HOUR, -30_000_000_000L}) {
                plan.stepWallClock(step);
                looks += LOOKS;
                int least = looks;
                Awaitility.await()
                        .atMost(Duration.ofSeconds(10))
                        .until(() -> shown(out).size() > least);
            }
        } finally {
            process.destroyForcibly().onExit().join();
        }
        List<Long> shown = shown(out);
        for (int i = 1; i < shown.size(); i++) {
            assertThat(shown.get(i) - shown.get(i - 1))
                    .as("ns from look " + (i - 1) + " to the next")
                    .isBetween(0L, LONGEST_REST);
        }
    }

    private static List<Long> shown(Path out) throws java.io.IOException {
        String text = Files.exists(out) ? Files.readString(out) : "";
        return text.substring(0, text.lastIndexOf('\n') + 1)
                .lines()
                .map(Long::parseLong)
                .toList();
    }
}
