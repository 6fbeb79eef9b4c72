package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.HostStandIn.Manner;
import beaconladder.testbed.TestClient;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Hosts that close connections, respond late, vanish or lag behind the primary. */
@Timeout(60)
class ServeHostsIT extends ServedProgram {
    @Test
    void aConnectionClosedByItsHostIsNotReusedAndNoWriteFailsBecauseOfIt() throws Exception {
        start();
        TestClient client = caller();
        a.closesAfterAnswer = true;
        for (int i = 0; i < 5; i++) {
            say(client.ask(write("w" + i, 1500)));
            TimeUnit.MILLISECONDS.sleep(30);
        }
        assertThat(trace.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n".repeat(5));
    }

    @Test
    void aLateResponseIsNeverTakenForThatOfTheNextRequest() throws Exception {
        start();
        TestClient client = caller();
        ask(client, read("warm", 2000));
        a.delayMillis = 300;
        b.delayMillis = 300;
        say(client.ask(read("slow", 150)));
        b.value = new byte[] {7};
        a.value = new byte[] {7};
        a.delayMillis = 0;
        b.delayMillis = 0;
        TimeUnit.MILLISECONDS.sleep(400);
        say(client.ask(read("next", 2000)));
        assertThat(trace.toString()).isEqualTo("E:53300 Z\nT D:07 C:SELECT 1 Z\n");
    }

    @Test
    void theAttemptOfADisconnectedClientIsCancelledAndNothingIsSentForItAfterwards() throws Exception {
        start();
        b.manner = Manner.SILENT;
        TestClient client = caller();
        MessageWriter.query(read("left", 2000)).writeTo(client.out);
        await(() -> b.queries.size() == 1);
        int closedBefore = b.closed.get();
        client.close();
        await(() -> b.closed.get() > closedBefore);
        // The client disconnects while a connection to the host is being opened: nothing is sent on it.
        b.manner = Manner.ANSWER;
        TestClient next = caller();
        ask(next, read("warm", 2000));
        a.closesAfterAnswer = true;
        await(() -> ask(next, write("shut", 2000)).contains("C:SELECT 1"));
        a.greetMillis = 150;
        int queriesBefore = a.queries.size();
        TestClient leaving = caller();
        MessageWriter.query(write("never", 2000)).writeTo(leaving.out);
        TimeUnit.MILLISECONDS.sleep(50);
        leaving.close();
        TimeUnit.MILLISECONDS.sleep(400);
        assertThat(a.queries()).hasSize(queriesBefore).noneMatch(q -> q.contains("id=never"));
    }

    @Test
    void aReplicaThatExceedsTheStalenessBoundWhileConnectingIsSentNothing() throws Exception {
        start();
        TestClient client = caller();
        ask(client, read("warm", 2000));
        ask(client, write("warm", 2000));
        // The replica's position stands still, and opening a new connection to it takes 200 ms.
        b.closesAfterAnswer = true;
        b.stoppedAt = System.currentTimeMillis();
        ask(client, read("warm", 2000));
        b.greetMillis = 200;
        TimeUnit.MILLISECONDS.sleep(350);
        say(client.ask(read("late", 1500).replace("c=any", "c=fresh")));
        assertThat(b.queries()).noneMatch(q -> q.contains("id=late"));
        assertThat(a.queries()).anyMatch(q -> q.contains("id=late"));
        assertThat(trace.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n");
    }

    @Test
    void aSessionsReadWaitsForAReplicaWithItsWriteEvenOneOfTheSameMillisecond() throws Exception {
        start();
        TestClient client = caller();
        ask(client, read("warm", 2000));
        ask(client, write("warm", 2000));
        b.stoppedAt = System.currentTimeMillis() - 50;
        long writePosition = System.currentTimeMillis() + 2;
        Thread catchUp = new Thread(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(150);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            b.stoppedAt = writePosition;
        });
        catchUp.start();
        say(client.ask(read("own", 2000).replace("c=any", "c=own").replace(" */", ",after=" + writePosition + " */")));
        catchUp.join();
        assertThat(trace.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n");
        assertThat(b.queries()).filteredOn(q -> q.contains("id=own")).hasSizeLessThanOrEqualTo(1);
        assertThat(b.sawBefore("id=own", writePosition)).isFalse();
    }

    /**
     * A probe's response has to state position and role: without them a read stays held although a replica has caught
     * up.
     */
    @Test
    void aHeldReadIsSentOnceAProbeShowsThatAReplicaHasCaughtUp() throws Exception {
        start();
        TestClient client = caller();
        ask(client, read("warm", 2000));
        TimeUnit.MILLISECONDS.sleep(700);
        // All positions that the router has received are now too old for a read with a staleness bound.
        say(client.ask(read("fresh", 2000).replace("c=any", "c=fresh")));
        assertThat(b.queries()).anyMatch(q -> q.contains("id=fresh"));
        assertThat(a.queries()).noneMatch(q -> q.contains("id=fresh"));
        assertThat(trace.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n");
    }

    @Test
    void aVanishedHostCausesTimeoutsButLeaksNoThreadsOrDescriptors() throws Exception {
        start();
        TestClient client = caller();
        ask(client, read("warm", 2000));
        int filesBefore = router.files();
        int threadsBefore = router.threads();
        b.vanish();
        for (int i = 0; i < 12; i++) {
            TestClient each = caller();
            MessageWriter.query(read("v" + i, 900)).writeTo(each.out);
        }
        for (AutoCloseable each : List.copyOf(open)) {
            if (each instanceof TestClient testClient && testClient != client) {
                assertThat(testClient.answer()).isIn("T D:00ff27 C:SELECT 1 Z", "E:53300 Z");
                testClient.close();
            }
        }
        await(() -> router.files() <= filesBefore + 2);
        // Idle threads end only after the keep-alive time of the thread pool.
        assertThat(router.threads()).isLessThan(threadsBefore + 40);
    }
}
