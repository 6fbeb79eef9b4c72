package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.TestClient;
import beaconladder.testbed.soak.FaultPlan;
import beaconladder.testbed.soak.FaultShim;
import org.junit.jupiter.api.Test;

/**
 * A router whose wall clock is wrong or is stepped, while its monotonic clock is right and hosts state their positions
 * in true time.
 */
class ClockIT extends RouterProcessFixture {
    private static final long HOUR_NANOS = 3_600_000_000_000L;
    private static final int READ_COUNT = 40;

    private FaultPlan plan;

    private void start(long offsetNanos) throws Exception {
        plan = new FaultPlan(folder.resolve("plan"));
        plan.stepWallClock(offsetNanos);
        int port = RouterProcess.freePort();
        router = closeAfterTest(new RouterProcess(
                        folder,
                        config(port),
                        port,
                        "export LD_PRELOAD=" + FaultShim.build(folder).library() + " FAULT_SHIM_PLAN=" + plan.file()
                                + "; "))
                .awaitReady();
    }

    private static String boundedRead(String id) {
        return read(id, 1_500).replace("c=any", "c=fresh");
    }

    /** Sends reads with a staleness bound of 500 ms, and writes, whose answers also state the time. */
    private void sendReadsAndWrites(TestClient client, String name, int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            assertThat(query(client, boundedRead(name + i))).as(name + i).startsWith("T D:");
            assertThat(query(client, write(name + "w" + i, 1_500)))
                    .as(name + "w" + i)
                    .startsWith("T D:");
            Thread.sleep(20);
        }
    }

    /**
     * Guards against stale reads after the correction of a wall clock that was behind when the router started: in a
     * short run, clients received twelve of them.
     */
    @Test
    void correctingAClockThatWasBehindAtTheStartMakesNoReadStale() throws Exception {
        start(-HOUR_NANOS);
        TestClient client = connect();
        for (int i = 0; i < 5; i++) {
            query(client, boundedRead("behind" + i));
            query(client, write("behindw" + i, 1_500));
        }
        plan.stepWallClock(HOUR_NANOS);
        replica.stoppedAt = System.currentTimeMillis();
        Thread.sleep(2_000);
        replica.queries.clear();
        for (int i = 0; i < READ_COUNT / 4; i++) {
            query(client, boundedRead("right" + i));
            query(client, write("rightw" + i, 1_500));
        }
        assertThat(replica.queries())
                .as("reads with a bound of 500 ms at a replica 2 s behind")
                .noneMatch(query -> query.contains("c=fresh"));
    }

    @Test
    void aClockThatIsWrongFromTheStartDoesNotTakeReplicasOutOfUse() throws Exception {
        for (long offsetNanos : new long[] {-HOUR_NANOS, HOUR_NANOS}) {
            start(offsetNanos);
            TestClient client = connect();
            // A write first, as a primary that the router has not yet exchanged anything with is sent no reads.
            query(client, write("meet" + offsetNanos, 1_500));
            sendReadsAndWrites(client, "first" + offsetNanos, READ_COUNT / 2);
            replica.queries.clear();
            sendReadsAndWrites(client, "then" + offsetNanos, READ_COUNT / 2);
            assertThat(replica.queries().stream()
                            .filter(query -> query.contains("c=fresh"))
                            .count())
                    .as("bounded reads of " + READ_COUNT / 2 + " at the replica, off by " + offsetNanos)
                    .isGreaterThan(READ_COUNT / 4);
        }
    }

    @Test
    void aClockThatIsSteppedAtRunTimeDoesNotTakeReplicasOutOfUse() throws Exception {
        start(0);
        TestClient client = connect();
        sendReadsAndWrites(client, "first", 5);
        for (long stepNanos : new long[] {-HOUR_NANOS, 2 * HOUR_NANOS, -HOUR_NANOS - 5_000_000_000L}) {
            plan.stepWallClock(stepNanos);
            replica.queries.clear();
            sendReadsAndWrites(client, "step" + stepNanos, READ_COUNT / 4);
            assertThat(replica.queries().stream()
                            .filter(query -> query.contains("c=fresh"))
                            .count())
                    .as("bounded reads at the replica after a step of " + stepNanos)
                    .isGreaterThan(READ_COUNT / 8);
        }
    }
}
