package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.HexFormat;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The ends of connections on which more has been sent than is answered: what was read is answered before the end, and
 * what was not read is told by a reset, which comes after the answers.
 */
@Timeout(60)
class ConnectionEndIT extends RouterProcessFixture {
    private static final String ROW = "T D:00ff27 C:SELECT 1 Z";
    private static final String UNKNOWN_TYPE = "7a 00000004";
    private static final int LARGE_VALUE_BYTES = 60_000;
    private static final String LARGE_ROW = "T D:00000000000000000000 C:SELECT 1 Z";
    /** Their answers are more than a system holds for a client that does not read. */
    private static final int STALLED_QUERIES = 100;

    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4_096;

    /** Guards against an orderly end for queries that come behind a message that can't be read. */
    @ParameterizedTest
    @ValueSource(strings = {UNKNOWN_TYPE, "51 00000008 41004100", "51 00000003", "51 7fffffff"})
    void queriesBehindAnUnreadableMessageAreToldByAReset(String unreadable) throws Exception {
        start();
        TestClient client = connect();
        MessageWriter.query(read("before", 2000))
                .append(MessageWriter.query(""))
                .append(messageOf(unreadable))
                .append(MessageWriter.query(read("behind1", 2000)))
                .append(MessageWriter.query(write("behind2", 2000)))
                .writeTo(client.out);
        append(client.answer(), client.answer(), client.answer());
        assertThat(transcript.toString()).isEqualTo(ROW + "\nI Z\nE:08P01 closed\n");
        assertThat(client.endedByReset()).isTrue();
        assertNothingRan("behind");
    }

    /** Guards against the same for a query whose rest comes after the time that a message may take. */
    @Test
    void aQueryWhoseRestComesTooLateIsToldByAReset() throws Exception {
        start();
        TestClient client = connect();
        MessageWriter late = MessageWriter.query(read("late", 2000));
        byte[] bytes = new byte[late.size()];
        late.asByteBuffer().get(bytes);
        MessageWriter.query(read("before", 2000)).writeTo(client.out);
        client.out.write(bytes, 0, 20);
        append(client.answer());
        TimeUnit.MILLISECONDS.sleep(2_200);
        boolean resetAtWrite = false;
        try {
            client.out.write(bytes, 20, bytes.length - 20);
        } catch (SocketException e) {
            resetAtWrite = true;
        }
        append(client.answer());
        assertThat(transcript.toString()).isEqualTo(ROW + "\nE:08P01 closed\n");
        assertThat(resetAtWrite || client.endedByReset()).isTrue();
        assertNothingRan("late");
    }

    /** Guards against the same for queries that are sent with a startup message that is refused. */
    @Test
    void queriesBehindARefusedStartupMessageAreToldByAReset() throws Exception {
        start();
        TestClient client = newClient(new Socket(InetAddress.getLoopbackAddress(), router.port));
        messageOf("00000008 00020000")
                .append(MessageWriter.query(read("early", 2000)))
                .writeTo(client.out);
        assertThat(client.answer()).isEqualTo("E:0A000 closed");
        assertThat(client.endedByReset()).isTrue();
        assertNothingRan("early");
    }

    /** The other side: where nothing was sent behind the error, the end is an orderly one. */
    @Test
    void aClientThatSendsNothingBehindTheErrorGetsAnOrderlyEnd() throws Exception {
        start();
        TestClient client = connect();
        MessageWriter.query(read("before", 2000))
                .append(messageOf(UNKNOWN_TYPE))
                .writeTo(client.out);
        append(client.answer(), client.answer());
        assertThat(transcript.toString()).isEqualTo(ROW + "\nE:08P01 closed\n");
        assertThat(client.endedByReset()).isFalse();
    }

    /** Guards against a reset that destroys answers which the client has not received yet. */
    @Test
    void aResetWaitsForTheAnswersThatTheClientHasNotReceived() throws Exception {
        start();
        replica.value = new byte[LARGE_VALUE_BYTES];
        primary.value = new byte[LARGE_VALUE_BYTES];
        TestClient client = slowReceiver();
        MessageWriter messages = new MessageWriter();
        for (int i = 0; i < 8; i++) {
            messages.append(MessageWriter.query(read("large" + i, 2000)));
        }
        messages.append(messageOf(UNKNOWN_TYPE))
                .append(MessageWriter.query(read("behind", 2000)))
                .writeTo(client.out);
        TimeUnit.MILLISECONDS.sleep(2_000);
        for (int i = 0; i < 8; i++) {
            assertThat(client.answer()).as("answer %d", i).isEqualTo(LARGE_ROW);
        }
        assertThat(client.answer()).isEqualTo("E:08P01 closed");
        assertThat(client.endedByReset()).isTrue();
        assertNothingRan("behind");
    }

    /** Guards against the same at the end of a drain, for a query that comes after the last answer was written. */
    @Test
    void aDrainKeepsTheAnswersThatTheClientHasNotReceivedAndTellsALaterQueryByAReset() throws Exception {
        start();
        replica.value = new byte[LARGE_VALUE_BYTES];
        primary.value = new byte[LARGE_VALUE_BYTES];
        TestClient client = slowReceiver();
        primary.delayMillis = 500;
        replica.delayMillis = 500;
        router.sendSignal("TERM");
        TimeUnit.MILLISECONDS.sleep(450);
        MessageWriter messages = new MessageWriter();
        for (int i = 0; i < 8; i++) {
            messages.append(MessageWriter.query(read("large" + i, 2000)));
        }
        messages.writeTo(client.out);
        TimeUnit.MILLISECONDS.sleep(1_000);
        MessageWriter.query(read("behind", 2000)).writeTo(client.out);
        TimeUnit.MILLISECONDS.sleep(300);
        for (int i = 0; i < 8; i++) {
            assertThat(client.answer()).as("answer %d", i).isEqualTo(LARGE_ROW);
        }
        assertThat(client.answer()).isEqualTo("closed");
        assertThat(client.endedByReset()).isTrue();
        assertNothingRan("behind");
        assertThat(router.process.waitFor(10, TimeUnit.SECONDS)).isTrue();
    }

    /** Guards against queries that are dropped as a Terminate has been read behind them. */
    @Test
    void queriesBeforeATerminateAreAnsweredBeforeTheEnd() throws Exception {
        start();
        TestClient client = connect();
        query(client, write("warm", 2000));
        primary.delayMillis = 300;
        replica.delayMillis = 300;
        MessageWriter.query(read("t1", 2000))
                .append(MessageWriter.query(write("t2", 2000)))
                .append(MessageWriter.query(read("t3", 2000)))
                .append(messageOf("58 00000004"))
                .writeTo(client.out);
        append(client.answer(), client.answer(), client.answer(), client.answer());
        assertThat(transcript.toString()).isEqualTo((ROW + "\n").repeat(3) + "closed\n");
        assertThat(client.endedByReset()).isFalse();
    }

    /** The other side: a client that closes its connection behind a Terminate has left, whatever was before it. */
    @Test
    void nothingIsForwardedForAClientThatClosesBehindATerminate() throws Exception {
        start();
        TestClient client = connect();
        query(client, write("warm", 2000));
        primary.delayMillis = 400;
        MessageWriter messages = new MessageWriter();
        for (int i = 0; i < 4; i++) {
            messages.append(MessageWriter.query(write("leaves" + i + "x", 2000)));
        }
        messages.append(messageOf("58 00000004")).writeTo(client.out);
        await(() -> primary.queries().stream().anyMatch(query -> query.contains("id=leaves")));
        client.close();
        TimeUnit.MILLISECONDS.sleep(1_500);
        assertThat(primary.queries().stream().filter(query -> query.contains("id=leaves")))
                .hasSize(1);
    }

    /**
     * Guards against an orderly end between two answers for a client that takes nothing in: it has to see that its
     * other queries have none.
     */
    @Test
    void aClientThatTakesNothingInCanTellThatItsOtherQueriesHaveNoAnswer() throws Exception {
        start();
        replica.value = new byte[LARGE_VALUE_BYTES];
        primary.value = new byte[LARGE_VALUE_BYTES];
        TestClient client = slowReceiver();
        MessageWriter messages = new MessageWriter();
        for (int i = 0; i < STALLED_QUERIES; i++) {
            messages.append(MessageWriter.query(read("stalled" + i, 2000)));
        }
        messages.writeTo(client.out);
        TimeUnit.MILLISECONDS.sleep(7_000);
        int answered = 0;
        String answer = client.answer();
        while (!answer.endsWith("closed")) {
            assertThat(answer).matches(LARGE_ROW + "|E:.* Z");
            answered++;
            answer = client.answer();
        }
        assertThat(answered).isBetween(1, STALLED_QUERIES - 1);
        assertThat(!answer.equals("closed") || client.endedByReset())
                .as("%d answers, then %s", answered, answer)
                .isTrue();
    }

    // ---- Helpers ------------------------------------------------------------------------------------------

    private static MessageWriter messageOf(String hex) {
        byte[] bytes = HexFormat.of().parseHex(hex.replace(" ", ""));
        return new MessageWriter().append(bytes, 0, bytes.length);
    }

    private TestClient newClient(Socket socket) throws IOException {
        return closeAfterTest(new TestClient(socket));
    }

    /** Connects a client whose system receives little that the client does not read. */
    private TestClient slowReceiver() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), router.port));
        return greeted(new TestClient(socket));
    }

    private void assertNothingRan(String id) {
        assertThat(primary.queries()).noneMatch(query -> query.contains("id=" + id));
        assertThat(replica.queries()).noneMatch(query -> query.contains("id=" + id));
    }
}
