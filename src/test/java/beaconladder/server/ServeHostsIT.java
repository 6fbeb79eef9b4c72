package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.HostStandIn.Manner;
import beaconladder.testbed.TestClient;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections to hosts that close, answer late, vanish or lag. */
@Timeout(60)
class ServeHostsIT extends ServedProgram {
    @Test
    void aConnectionThatItsHostClosedIsNotUsedAndOnceOnlyTxnsAreNotLostToIt() throws Exception {
        start();
        TestClient c = caller();
        a.closesAfterAnswer = true;
        for (int i = 0; i < 5; i++) {
            say(c.ask(write("w" + i, 1500)));
            TimeUnit.MILLISECONDS.sleep(30);
        }
        assertThat(trace.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n".repeat(5));
    }

    @Test
    void aLateAnswerIsNeverTakenForTheNextTxn() throws Exception {
        start();
        TestClient c = caller();
        ask(c, read("warm", 2000));
        a.delayMillis = 300;
        b.delayMillis = 300;
        say(c.ask(read("slow", 150)));
        b.value = new byte[] {7};
        a.value = new byte[] {7};
        a.delayMillis = 0;
        b.delayMillis = 0;
        TimeUnit.MILLISECONDS.sleep(400);
        say(c.ask(read("next", 2000)));
        assertThat(trace.toString()).isEqualTo("E:53300 Z\nT D:07 C:SELECT 1 Z\n");
    }

    @Test
    void aClientThatLeavesHasItsSubmissionCalledOffAndNothingIsSentForItAfterwards() throws Exception {
        start();
        b.manner = Manner.SILENT;
        TestClient c = caller();
        MessageWriter.query(read("left", 2000)).writeTo(c.out);
        await(() -> b.queries.size() == 1);
        int before = b.closed.get();
        c.close();
        await(() -> b.closed.get() > before);
        // While a connection is being made, the client leaves: nothing is sent on it.
        b.manner = Manner.ANSWER;
        TestClient next = caller();
        ask(next, read("warm", 2000));
        a.closesAfterAnswer = true;
        await(() -> ask(next, write("shut", 2000)).contains("C:SELECT 1"));
        a.greetMillis = 150;
        int writes = a.queries.size();
        TestClient leaves = caller();
        MessageWriter.query(write("never", 2000)).writeTo(leaves.out);
        TimeUnit.MILLISECONDS.sleep(50);
        leaves.close();
        TimeUnit.MILLISECONDS.sleep(400);
        assertThat(a.queries()).hasSize(writes).noneMatch(q -> q.contains("id=never"));
    }

    @Test
    void aBoundThatRanOutWhileConnectingSendsNothing() throws Exception {
        start();
        TestClient c = caller();
        ask(c, read("warm", 2000));
        ask(c, write("warm", 2000));
        // The replica stands still, and its connection has to be made anew, slowly.
        b.closesAfterAnswer = true;
        b.stoppedAt = System.currentTimeMillis();
        ask(c, read("warm", 2000));
        b.greetMillis = 200;
        TimeUnit.MILLISECONDS.sleep(350);
        say(c.ask(read("late", 1500).replace("c=any", "c=fresh")));
        assertThat(b.queries()).noneMatch(q -> q.contains("id=late"));
        assertThat(a.queries()).anyMatch(q -> q.contains("id=late"));
        assertThat(trace.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n");
    }

    @Test
    void aSessionsReadWaitsForAReplicaThatHasItsWriteEvenOneCommittedThisVeryMillisecond() throws Exception {
        start();
        TestClient c = caller();
        ask(c, read("warm", 2000));
        ask(c, write("warm", 2000));
        b.stoppedAt = System.currentTimeMillis() - 50;
        long after = System.currentTimeMillis() + 2;
        Thread later = new Thread(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(150);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            b.stoppedAt = after;
        });
        later.start();
        say(c.ask(read("own", 2000).replace("c=any", "c=own").replace(" */", ",after=" + after + " */")));
        later.join();
        assertThat(trace.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n");
        assertThat(b.queries()).filteredOn(q -> q.contains("id=own")).hasSizeLessThanOrEqualTo(1);
        assertThat(b.sawBefore("id=own", after)).isFalse();
    }

    /** A probe has to bring position and role, else a held read can't learn that a replica caught up. */
    @Test
    void aHeldReadLearnsFromAProbeThatAReplicaHasCaughtUp() throws Exception {
        start();
        TestClient c = caller();
        ask(c, read("warm", 2000));
        TimeUnit.MILLISECONDS.sleep(700);
        // All that this router has heard is too old for a bounded read now.
        say(c.ask(read("fresh", 2000).replace("c=any", "c=fresh")));
        assertThat(b.queries()).anyMatch(q -> q.contains("id=fresh"));
        assertThat(a.queries()).noneMatch(q -> q.contains("id=fresh"));
        assertThat(trace.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n");
    }

    @Test
    void aHostThatVanishesCostsTimeOutsButNoThreadsOrDescriptors() throws Exception {
        start();
        TestClient c = caller();
        ask(c, read("warm", 2000));
        int files = router.files();
        int threads = router.threads();
        b.vanish();
        for (int i = 0; i < 12; i++) {
            TestClient each = caller();
            MessageWriter.query(read("v" + i, 900)).writeTo(each.out);
        }
        for (AutoCloseable each : List.copyOf(open)) {
            if (each instanceof TestClient caller && caller != c) {
                assertThat(caller.answer()).isIn("T D:00ff27 C:SELECT 1 Z", "E:53300 Z");
                caller.close();
            }
        }
        await(() -> router.files() <= files + 2);
        // Threads of a finished use wait a minute for the next one.
        assertThat(router.threads()).isLessThan(threads + 40);
    }
}
