package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.HostStandIn.Manner;
import beaconladder.testbed.TestClient;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The answers of the packaged router to clients, with stand-ins for hosts and discovery. */
@Timeout(60)
class RouterServerIT extends RouterProcessFixture {
    @Test
    void readsGoToTheReplicaAndWritesToThePrimaryWithTextAndRowUnchanged() throws Exception {
        start();
        TestClient client = connect();
        append(
                client.ask(read("r1", 1500)),
                client.ask(write("w1", 1500)),
                client.ask("SET x = 1"),
                client.ask(""),
                client.ask("reset all"));
        append("a " + primary.queries(), "b " + replica.queries());
        assertThat(transcript.toString().replaceAll("d=1[34]\\d\\d", "d=less")).isEqualTo("""
                T D:00ff27 C:SELECT 1 Z
                T D:00ff27 C:SELECT 1 Z
                C:SET Z
                I Z
                C:RESET Z
                a [INSERT INTO items (id, doc) VALUES ('k', '\\x9f03') RETURNING doc \
                /* id=w1,c=write,t=acme,d=less,cluster=1 */]
                b [SELECT doc FROM items WHERE id = 'k' /* id=r1,c=any,t=acme,d=less,cluster=1 */]
                """);
    }

    @Test
    void pipelinedQueriesAreAnsweredInOrderAndMayFollowTheStartupMessageImmediately() throws Exception {
        start();
        Socket socket = closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), router.port));
        replica.delayMillis = 100;
        MessageWriter messages = MessageWriter.startup("app", "shop")
                .append(MessageWriter.query(read("r1", 2000)))
                .append(MessageWriter.query(""))
                .append(MessageWriter.query(read("r2", 2000)))
                .append(MessageWriter.query("DISCARD ALL"));
        messages.writeTo(socket.getOutputStream());
        TestClient client = new TestClient(socket);
        append(client.answer(), client.answer(), client.answer(), client.answer(), client.answer());
        assertThat(transcript.toString()).isEqualTo("""
                R S S S S K Z
                T D:00ff27 C:SELECT 1 Z
                I Z
                T D:00ff27 C:SELECT 1 Z
                C:DISCARD Z
                """);
    }

    /** Each outcome of an attempt, for a write that may run only once. */
    @Test
    void everyOutcomeOfAnAttemptIsDistinguished() throws Exception {
        start();
        TestClient client = connect();
        for (Manner manner : List.of(
                Manner.MISS,
                Manner.BEHIND,
                Manner.ERROR,
                Manner.FULL,
                Manner.RESET,
                Manner.CUT,
                Manner.GARBAGE,
                Manner.TWO_ROWS,
                Manner.HUGE,
                Manner.UNKNOWN,
                Manner.SILENT,
                Manner.NO_DESCRIPTION,
                Manner.TWO_COLUMNS,
                Manner.INNER_LENGTH,
                Manner.ERROR_BEHIND_ROW,
                Manner.HALF_AN_ERROR,
                Manner.ODD_TAG,
                Manner.STALL)) {
            primary.manner = manner;
            replica.manner = manner;
            int queriesBefore = primary.queries.size() + replica.queries.size();
            String answer = client.ask(write("w", 600));
            int sent = primary.queries.size() + replica.queries.size() - queriesBefore;
            primary.manner = Manner.ANSWER;
            replica.manner = Manner.ANSWER;
            append(manner + ": " + answer + (answer.contains("40003") && sent > 1 ? " SENT AGAIN" : ""));
            // The host must be in use again before the next outcome.
            await(() -> query(client, write("again", 2000)).contains("C:SELECT 1"));
        }
        assertThat(transcript.toString()).isEqualTo("""
                MISS: E:53300 Z
                BEHIND: E:53300 Z
                ERROR: E:40003 Z
                FULL: E:53300 Z
                RESET: E:40003 Z
                CUT: E:40003 Z
                GARBAGE: E:40003 Z
                TWO_ROWS: E:40003 Z
                HUGE: E:40003 Z
                UNKNOWN: E:40003 Z
                SILENT: E:40003 Z
                NO_DESCRIPTION: E:40003 Z
                TWO_COLUMNS: E:40003 Z
                INNER_LENGTH: E:40003 Z
                ERROR_BEHIND_ROW: E:40003 Z
                HALF_AN_ERROR: E:40003 Z
                ODD_TAG: E:40003 Z
                STALL: E:40003 Z
                """);
    }

    /** An invalid response is detected long before the request's deadline, so the read is sent to another replica. */
    @Test
    void aReadWhoseResponseIsInvalidOrIncompleteIsRetriedInTime() throws Exception {
        start();
        TestClient client = connect();
        HostStandIn secondReplica = closeAfterTest(new HostStandIn("follower"));
        discovery.list(false, secondReplica.entry("d", "Ready"));
        await(() -> query(client, read("warm", 2000)).contains("C:SELECT 1") && !secondReplica.queries.isEmpty());
        replica.manner = Manner.STALL;
        secondReplica.value = new byte[] {5};
        int queriesBefore = replica.queries.size();
        while (replica.queries.size() == queriesBefore) {
            long startNanoTime = System.nanoTime();
            assertThat(client.ask(read("r" + startNanoTime, 1500))).isEqualTo("T D:05 C:SELECT 1 Z");
            assertThat(System.nanoTime() - startNanoTime).isLessThan(450_000_000L);
        }
    }

    @Test
    void bytesThatAHostSendsAfterItsResponseAreNeverSentToTheNextRequest() throws Exception {
        start();
        TestClient client = connect();
        replica.manner = Manner.TWICE;
        for (int i = 1; i <= 20; i++) {
            replica.value = new byte[] {(byte) i};
            append(client.ask(read("t" + i, 1500)));
        }
        assertThat(transcript.toString())
                .isEqualTo(java.util.stream.IntStream.rangeClosed(1, 20)
                        .mapToObj(i -> "T D:%02x C:SELECT 1 Z\n".formatted(i))
                        .collect(Collectors.joining()));
    }

    @Test
    void aRequestWithTheIdOfAnInFlightRequestIsRejectedAndTheFirstIsAnswered() throws Exception {
        start();
        replica.delayMillis = 300;
        TestClient firstClient = connect();
        TestClient secondClient = connect();
        MessageWriter.query(read("same", 2000)).writeTo(firstClient.out);
        await(() -> replica.queries.size() == 1);
        append(secondClient.ask(read("same", 2000)), firstClient.answer(), secondClient.ask(read("same", 2000)));
        assertThat(transcript.toString()).isEqualTo("E:22023 Z\nT D:00ff27 C:SELECT 1 Z\nT D:00ff27 C:SELECT 1 Z\n");
    }

    /** Each such client gets an error within three seconds, and other clients are not affected. */
    @Test
    void aClientThatSendsNothingOrAnIncompleteMessageGetsAnErrorAndIsClosed() throws Exception {
        maxDescriptors = 200;
        start();
        TestClient normalClient = connect();
        query(normalClient, read("warm", 2000));
        List<TestClient> badClients = new ArrayList<>();
        long startNanoTime = System.nanoTime();
        for (int i = 0; i < 120; i++) {
            TestClient each = new TestClient(closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), router.port)));
            if (i % 3 > 0) {
                each.out.write(HexFormat.of().parseHex("000000"));
            }
            if (i % 3 > 1) {
                each.out.write(HexFormat.of().parseHex("0900030000005100000fff4142"));
            }
            badClients.add(each);
            assertThat(normalClient.ask(read("u" + i, 2000))).isEqualTo("T D:00ff27 C:SELECT 1 Z");
        }
        for (TestClient each : badClients) {
            assertThat(each.rest())
                    .isIn("E:08P01 closed", "R S S S S K Z E:08P01 closed", "closed", "R S S S S K Z closed");
        }
        assertThat(System.nanoTime() - startNanoTime).isLessThan(3_000_000_000L);
        assertThat(normalClient.ask(read("end", 2000))).isEqualTo("T D:00ff27 C:SELECT 1 Z");
        assertThat(router.threadCount()).isLessThan(60);
    }
}
