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

/** Tests {@link AnchoredClock} in a process whose wall clock is stepped. */
@Timeout(60)
class AnchoredClockTest {
    private static final long HOUR_NANOS = 3_600_000_000_000L;
    private static final int READS = 10;
    private static final int PAUSE_MILLIS = 10;
    /** The largest accepted difference between two reads; on a busy machine the pause takes longer. */
    private static final long MAX_PAUSE_NANOS = 2_000_000_000L;

    @TempDir
    Path folder;

    /** Prints the clock until it is killed. */
    public static void main(String[] args) throws InterruptedException {
        AnchoredClock clock = new AnchoredClock();
        while (true) {
            System.out.println(clock.getAsLong());
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    /** Guards against a clock that follows the wall clock: a step back by 30 s kept leases from expiring for 30 s. */
    @Test
    void intervalsAreRealTimeWhileTheWallClockIsStepped() throws Exception {
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
            int reads = 0;
            for (long step : new long[] {0, -HOUR_NANOS, 2 * HOUR_NANOS, -30_000_000_000L}) {
                plan.stepWallClock(step);
                reads += READS;
                int required = reads;
                Awaitility.await()
                        .atMost(Duration.ofSeconds(10))
                        .until(() -> readings(out).size() > required);
            }
        } finally {
            process.destroyForcibly().onExit().join();
        }
        List<Long> readings = readings(out);
        for (int i = 1; i < readings.size(); i++) {
            assertThat(readings.get(i) - readings.get(i - 1))
                    .as("nanoseconds from reading " + (i - 1) + " to the next")
                    .isBetween(0L, MAX_PAUSE_NANOS);
        }
    }

    private static List<Long> readings(Path out) throws java.io.IOException {
        String text = Files.exists(out) ? Files.readString(out) : "";
        return text.substring(0, text.lastIndexOf('\n') + 1)
                .lines()
                .map(Long::parseLong)
                .toList();
    }
}
