package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.TestClient;
import beaconladder.testbed.soak.FaultPlan;
import beaconladder.testbed.soak.FaultShim;
import org.junit.jupiter.api.Test;

/**
 * The wall clock of a router is wrong, or is stepped; the monotonic one runs on, and hosts tell positions by the true
 * time.
 */
class ClockIT extends RouterProcessFixture {
    private static final long HOUR = 3_600_000_000_000L;
    private static final int LOOKS = 40;

    private FaultPlan plan;

    private void start(long offset) throws Exception {
        plan = new FaultPlan(folder.resolve("plan"));
        plan.stepWallClock(offset);
        int port = RouterProcess.freePort();
        router = closeAfterTest(new RouterProcess(
                        folder,
                        config(port),
                        port,
                        "export LD_PRELOAD=" + FaultShim.build(folder).library() + " FAULT_SHIM_PLAN=" + plan.file()
                                + "; "))
                .ready();
    }

    private static String fresh(String id) {
        return read(id, 1_500).replace("c=any", "c=fresh");
    }

    /** Reads within a bound of 500 ms, and writes, which tell the time as well. */
    private void query(TestClient c, String name, int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            assertThat(query(c, fresh(name + i))).as(name + i).startsWith("T D:");
            assertThat(query(c, write(name + "w" + i, 1_500))).as(name + "w" + i).startsWith("T D:");
            Thread.sleep(20);
        }
    }

    /** Seen from outside: twelve stale reads on a short day. */
    @Test
    void aClockThatWasBehindAtTheStartAndIsPutRightMakesNoReadStale() throws Exception {
        start(-HOUR);
        TestClient c = connect();
        for (int i = 0; i < 5; i++) {
            query(c, fresh("behind" + i));
            query(c, write("behindw" + i, 1_500));
        }
        plan.stepWallClock(HOUR);
        replica.stoppedAt = System.currentTimeMillis();
        Thread.sleep(2_000);
        replica.queries.clear();
        for (int i = 0; i < LOOKS / 4; i++) {
            query(c, fresh("right" + i));
            query(c, write("rightw" + i, 1_500));
        }
        assertThat(replica.queries())
                .as("reads with a bound of 500 ms at a replica 2 s behind")
                .noneMatch(query -> query.contains("c=fresh"));
    }

    @Test
    void aClockThatIsWrongFromTheStartKeepsReplicasInUse() throws Exception {
        for (long offset : new long[] {-HOUR, HOUR}) {
            start(offset);
            TestClient c = connect();
            // A primary that was never met gets no read; that is another matter.
            query(c, write("meet" + offset, 1_500));
            query(c, "first" + offset, LOOKS / 2);
            replica.queries.clear();
            query(c, "then" + offset, LOOKS / 2);
            assertThat(replica.queries().stream()
                            .filter(query -> query.contains("c=fresh"))
                            .count())
                    .as("bounded reads of " + LOOKS / 2 + " at the replica, off by " + offset)
                    .isGreaterThan(LOOKS / 4);
        }
    }

    @Test
    void aClockThatIsSteppedWhileItRunsChangesNothing() throws Exception {
        start(0);
        TestClient c = connect();
        query(c, "first", 5);
        for (long step : new long[] {-HOUR, 2 * HOUR, -HOUR - 5_000_000_000L}) {
            plan.stepWallClock(step);
            replica.queries.clear();
            query(c, "step" + step, LOOKS / 4);
            assertThat(replica.queries().stream()
                            .filter(query -> query.contains("c=fresh"))
                            .count())
                    .as("bounded reads at the replica after a step of " + step)
                    .isGreaterThan(LOOKS / 8);
        }
    }
}
