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
class ServeHostsIT extends RouterProcessFixture {
    @Test
    void aConnectionClosedByItsHostIsNotReusedAndNoWriteFailsBecauseOfIt() throws Exception {
        start();
        TestClient client = connect();
        primary.closesAfterAnswer = true;
        for (int i = 0; i < 5; i++) {
            append(client.ask(write("w" + i, 1500)));
            TimeUnit.MILLISECONDS.sleep(30);
        }
        assertThat(transcript.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n".repeat(5));
    }

    @Test
    void aLateResponseIsNeverTakenForThatOfTheNextRequest() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        primary.delayMillis = 300;
        replica.delayMillis = 300;
        append(client.ask(read("slow", 150)));
        replica.value = new byte[] {7};
        primary.value = new byte[] {7};
        primary.delayMillis = 0;
        replica.delayMillis = 0;
        TimeUnit.MILLISECONDS.sleep(400);
        append(client.ask(read("next", 2000)));
        assertThat(transcript.toString()).isEqualTo("E:53300 Z\nT D:07 C:SELECT 1 Z\n");
    }

    @Test
    void theAttemptOfADisconnectedClientIsCancelledAndNothingIsSentForItAfterwards() throws Exception {
        start();
        replica.manner = Manner.SILENT;
        TestClient client = connect();
        MessageWriter.query(read("left", 2000)).writeTo(client.out);
        await(() -> replica.queries.size() == 1);
        int closedBefore = replica.closed.get();
        client.close();
        await(() -> replica.closed.get() > closedBefore);
        // The client disconnects while a connection to the host is being opened: nothing is sent on it.
        replica.manner = Manner.ANSWER;
        TestClient next = connect();
        query(next, read("warm", 2000));
        primary.closesAfterAnswer = true;
        await(() -> query(next, write("shut", 2000)).contains("C:SELECT 1"));
        primary.greetMillis = 150;
        int queriesBefore = primary.queries.size();
        TestClient leaving = connect();
        MessageWriter.query(write("never", 2000)).writeTo(leaving.out);
        TimeUnit.MILLISECONDS.sleep(50);
        leaving.close();
        TimeUnit.MILLISECONDS.sleep(400);
        assertThat(primary.queries()).hasSize(queriesBefore).noneMatch(q -> q.contains("id=never"));
    }

    @Test
    void aReplicaThatExceedsTheStalenessBoundWhileConnectingIsSentNothing() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        query(client, write("warm", 2000));
        // The replica's position stands still, and opening a new connection to it takes 200 ms.
        replica.closesAfterAnswer = true;
        replica.stoppedAt = System.currentTimeMillis();
        query(client, read("warm", 2000));
        replica.greetMillis = 200;
        TimeUnit.MILLISECONDS.sleep(350);
        append(client.ask(read("late", 1500).replace("c=any", "c=fresh")));
        assertThat(replica.queries()).noneMatch(q -> q.contains("id=late"));
        assertThat(primary.queries()).anyMatch(q -> q.contains("id=late"));
        assertThat(transcript.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n");
    }

    @Test
    void aSessionsReadWaitsForAReplicaWithItsWriteEvenOneOfTheSameMillisecond() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        query(client, write("warm", 2000));
        replica.stoppedAt = System.currentTimeMillis() - 50;
        long writePosition = System.currentTimeMillis() + 2;
        Thread catchUp = new Thread(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(150);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            replica.stoppedAt = writePosition;
        });
        catchUp.start();
        append(client.ask(
                read("own", 2000).replace("c=any", "c=own").replace(" */", ",after=" + writePosition + " */")));
        catchUp.join();
        assertThat(transcript.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n");
        assertThat(replica.queries()).filteredOn(q -> q.contains("id=own")).hasSizeLessThanOrEqualTo(1);
        assertThat(replica.sawBefore("id=own", writePosition)).isFalse();
    }

    /**
     * A probe's response has to state position and role: without them a read stays held although a replica has caught
     * up.
     */
    @Test
    void aHeldReadIsSentOnceAProbeShowsThatAReplicaHasCaughtUp() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        TimeUnit.MILLISECONDS.sleep(700);
        // All positions that the router has received are now too old for a read with a staleness bound.
        append(client.ask(read("fresh", 2000).replace("c=any", "c=fresh")));
        assertThat(replica.queries()).anyMatch(q -> q.contains("id=fresh"));
        assertThat(primary.queries()).noneMatch(q -> q.contains("id=fresh"));
        assertThat(transcript.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n");
    }

    @Test
    void aVanishedHostCausesTimeoutsButLeaksNoThreadsOrDescriptors() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        int filesBefore = router.openFileCount();
        int threadsBefore = router.threadCount();
        replica.vanish();
        for (int i = 0; i < 12; i++) {
            TestClient each = connect();
            MessageWriter.query(read("v" + i, 900)).writeTo(each.out);
        }
        for (AutoCloseable each : List.copyOf(resources)) {
            if (each instanceof TestClient testClient && testClient != client) {
                assertThat(testClient.answer()).isIn("T D:00ff27 C:SELECT 1 Z", "E:53300 Z");
                testClient.close();
            }
        }
        await(() -> router.openFileCount() <= filesBefore + 2);
        // Idle threads end only after the keep-alive time of the thread pool.
        assertThat(router.threadCount()).isLessThan(threadsBefore + 40);
    }
}
