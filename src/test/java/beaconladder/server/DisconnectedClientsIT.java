package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.HostStandIn.Manner;
import beaconladder.testbed.StandInThreads;
import beaconladder.testbed.TestClient;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** After a client closes its connection or cancels a query, no attempt for it begins more than 100 ms later. */
@Timeout(60)
class DisconnectedClientsIT extends RouterProcessFixture {
    private static final long MAX_DELAY_MILLIS = 100;
    private static final int UNREADABLE_BYTES = 200 * 1024;

    /** The close arrives behind queries that the router has not read yet. */
    @Test
    void nothingIsForwardedFromAFullPipelineAfterItsClientHasClosed() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        primary.delayMillis = 400;
        replica.delayMillis = 400;
        pipelinedReads("p", 200).writeTo(client.out);
        // The client reads the answer first, so that its close is not a reset.
        client.answer();
        await(() -> receivedIds("p").size() >= 2);
        client.close();
        assertNoneReceivedAfter(System.currentTimeMillis(), "p", 1_500);
    }

    /** Guards against a close that isn't noticed because hundreds of kilobytes lie unread before it. */
    @Test
    void nothingIsForwardedAfterACloseBehindHundredsOfKilobytes() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        primary.delayMillis = 200;
        replica.delayMillis = 200;
        String filler = "x".repeat(400);
        MessageWriter queries = new MessageWriter();
        for (int i = 0; i < 600; i++) {
            queries.append(MessageWriter.query(read("u" + i + "x", 2000).replace("'k'", "'k" + filler + "'")));
        }
        queries.writeTo(client.out);
        await(() -> !receivedIds("u").isEmpty());
        client.close();
        assertNoneReceivedAfter(System.currentTimeMillis(), "u", 2_500);
    }

    /** Guards against a write that runs twice because its id comes again after its client has left. */
    @Test
    void aWriteThatMayHaveRunDoesNotRunAgainWhenItsIdComesAgainAfterItsClientHasLeft() throws Exception {
        start();
        TestClient warm = connect();
        query(warm, write("warm", 2000));
        primary.delayMillis = 300;
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            ids.add("g" + i + "x");
            TestClient leaving = connect();
            MessageWriter.query(write(ids.get(i), 1900)).writeTo(leaving.out);
            await(() -> receivedIds(ids.get(ids.size() - 1)).size() == 1);
            leaving.close();
        }
        for (int round = 0; round < 2; round++) {
            for (String id : ids) {
                assertThat(connect().ask(write(id, 1900)))
                        .as(id)
                        .startsWith("E:")
                        .doesNotContain("53300");
            }
            // The second round comes when the writes have ended at their host.
            TimeUnit.MILLISECONDS.sleep(500);
        }
        for (String id : ids) {
            assertThat(receivedIds(id)).hasSize(1);
        }
    }

    /** The last bytes from the client are part of a message. */
    @Test
    void nothingIsForwardedForAClientThatClosesInTheMiddleOfAMessage() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        primary.delayMillis = 300;
        replica.delayMillis = 300;
        MessageWriter queries = pipelinedReads("h", 5);
        queries.writeTo(client.out);
        client.out.write(new byte[] {'Q', 0, 0, 1, 0, 'S', 'E'});
        await(() -> receivedIds("h").size() >= 1);
        client.close();
        assertNoneReceivedAfter(System.currentTimeMillis(), "h", 1_500);
    }

    /**
     * Guards against a close that isn't noticed behind a message that can't be read: its bytes were no longer read once
     * 64 KB of them had been discarded, and the writes before it ran for clients that had gone.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void nothingIsForwardedAfterACloseBehindAMessageThatCannotBeRead(boolean resets) throws Exception {
        start();
        TestClient firstClient = connect();
        query(firstClient, write("warm", 2000));
        primary.manner = Manner.MISS;
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port);
            if (resets) {
                socket.setSoLinger(true, 0);
            }
            TestClient client = greeted(new TestClient(socket));
            clients.add(client);
            MessageWriter.query(write("z" + i + "x", 2000)).writeTo(client.out);
            sendUnreadableMessage(client);
        }
        await(() -> !receivedIds("z").isEmpty());
        TimeUnit.MILLISECONDS.sleep(100);
        for (TestClient client : clients) {
            client.close();
        }
        long disconnectedMillis = System.currentTimeMillis();
        TimeUnit.MILLISECONDS.sleep(MAX_DELAY_MILLIS);
        primary.manner = Manner.ANSWER;
        assertNoneReceivedAfter(disconnectedMillis, "z", 1_900);
        await(() -> query(firstClient, write("again", 2000)).contains("C:"));
    }

    /** The other side: a client that stays gets the answer that it is owed, then the error, then the close. */
    @Test
    void aClientThatStaysBehindAMessageThatCannotBeReadGetsItsAnswerFirst() throws Exception {
        start();
        TestClient client = connect();
        query(client, write("warm", 2000));
        primary.delayMillis = 700;
        MessageWriter.query(write("stays", 2000)).writeTo(client.out);
        sendUnreadableMessage(client);
        append(client.answer(), client.answer());
        assertThat(transcript.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\nE:08P01 closed\n");
    }

    /**
     * The other side: a client that sends without end behind a message that can't be read gets its answer and is closed
     * within the time that is left to it, and the other clients are served meanwhile.
     */
    @Test
    void aClientThatSendsWithoutEndBehindAMessageThatCannotBeReadIsClosedAfterItsAnswer() throws Exception {
        memoryMb = 64;
        start();
        TestClient other = connect();
        query(other, write("warm", 2000));
        primary.delayMillis = 1_500;
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(connect());
        }
        for (int i = 0; i < 4; i++) {
            MessageWriter.query(write("flood" + i, 2000)).writeTo(clients.get(i).out);
        }
        // A write that comes after the floods may be held and rejected, as the primary is silent by then.
        await(() -> receivedIds("flood").size() == 4);
        List<Thread> floods = new ArrayList<>();
        List<String> answers = Collections.synchronizedList(new ArrayList<>());
        for (TestClient client : clients) {
            floods.add(StandInThreads.spawn(() -> {
                sendUnreadableMessage(client);
                sendUntilClosed(client);
            }));
            StandInThreads.spawn(() -> answers.add(client.answer() + " " + client.answer()));
        }
        long endMillis = System.currentTimeMillis() + 1_000;
        while (System.currentTimeMillis() < endMillis) {
            assertThat(query(other, read("o" + System.nanoTime(), 1_000))).startsWith("T D:");
        }
        for (Thread flood : floods) {
            StandInThreads.join(flood, 3_000);
        }
        await(() -> answers.size() == 4);
        assertThat(answers).containsOnly("T D:00ff27 C:SELECT 1 Z E:08P01 closed");
        assertThat(query(other, read("after", 1_000))).startsWith("T D:");
    }

    /**
     * Guards against a close that isn't noticed behind queries that come after the final read of a drain: they were
     * read in small parts twenty times a second, and the write that waited before them ran for a client that had gone.
     */
    @Test
    void nothingIsForwardedAfterACloseBehindQueriesThatComeAfterTheFinalReadOfADrain() throws Exception {
        start();
        TestClient client = connect();
        query(client, write("warm", 2000));
        primary.delayMillis = 700;
        router.sendSignal("TERM");
        TimeUnit.MILLISECONDS.sleep(450);
        // The second waits for the first, as both write the same row.
        MessageWriter.query(write("d1x", 2000))
                .append(MessageWriter.query(write("d2x", 1200)))
                .writeTo(client.out);
        await(() -> !acceptsClients());
        // Each read of the router ends with a whole query, as the length of its first buffer is a multiple of theirs.
        queriesOfLength(256, 1_000).writeTo(client.out);
        TimeUnit.MILLISECONDS.sleep(100);
        client.close();
        assertNoneReceivedAfter(System.currentTimeMillis(), "d", 1_500);
        assertThat(receivedIds("late")).isEmpty();
    }

    /** The router is draining, and has read the connection for the last time. */
    @Test
    void nothingIsForwardedForAClientThatClosesAfterTheFinalReadOfADrain() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        primary.delayMillis = 400;
        replica.delayMillis = 400;
        router.sendSignal("TERM");
        TimeUnit.MILLISECONDS.sleep(450);
        pipelinedReads("d", 4).writeTo(client.out);
        await(() -> !acceptsClients());
        client.close();
        assertNoneReceivedAfter(System.currentTimeMillis(), "d", 1_500);
        assertThat(router.process.waitFor(10, TimeUnit.SECONDS)).isTrue();
    }

    /** A query that arrives after the final read of a drain while an answer is due is rejected and not forwarded. */
    @Test
    void whatArrivesAfterTheFinalReadOfADrainIsRejectedInItsTurn() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        primary.delayMillis = 500;
        replica.delayMillis = 500;
        router.sendSignal("TERM");
        TimeUnit.MILLISECONDS.sleep(450);
        pipelinedReads("in", 1).writeTo(client.out);
        await(() -> !acceptsClients());
        pipelinedReads("late", 2).writeTo(client.out);
        append(client.answer(), client.answer(), client.answer(), client.answer());
        assertThat(transcript.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\nE:57P03 Z\nE:57P03 Z\nclosed\n");
        assertThat(receivedIds("late")).isEmpty();
    }

    /** The host is slow to complete the startup, and the client closes meanwhile. */
    @Test
    void nothingIsSentOverAConnectionThatOpensAfterTheClientHasClosed() throws Exception {
        start();
        TestClient client = connect();
        primary.closesAfterAnswer = true;
        replica.closesAfterAnswer = true;
        for (int i = 0; i < 4; i++) {
            query(client, read("warm" + i, 2000));
        }
        primary.greetMillis = 200;
        replica.greetMillis = 200;
        MessageWriter.query(read("g1", 2000)).writeTo(client.out);
        TimeUnit.MILLISECONDS.sleep(20);
        client.close();
        assertNoneReceivedAfter(System.currentTimeMillis(), "g", 1_000);
    }

    /** Clients wait for a primary, all close at once, and then there is a primary again. */
    @Test
    void nothingIsForwardedForManyClientsThatCloseAtOnceWhileTheyWait() throws Exception {
        start();
        TestClient firstClient = connect();
        query(firstClient, write("warm", 2000));
        primary.manner = Manner.MISS;
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            clients.add(connect());
            MessageWriter.query(write("m" + i + "x", 2000)).writeTo(clients.get(i).out);
        }
        await(() -> !receivedIds("m").isEmpty());
        TimeUnit.MILLISECONDS.sleep(100);
        for (TestClient client : clients) {
            client.close();
        }
        long disconnectedMillis = System.currentTimeMillis();
        primary.manner = Manner.ANSWER;
        assertNoneReceivedAfter(disconnectedMillis, "m", 1_500);
        await(() -> query(firstClient, write("again", 2000)).contains("C:"));
    }

    @Test
    void aCancelRequestCancelsTheQueryInFlightOnItsConnectionOnly() throws Exception {
        start();
        ClientWithCancelKey client = new ClientWithCancelKey();
        primary.manner = Manner.SILENT;
        replica.manner = Manner.SILENT;
        MessageWriter.query(write("c1", 2000))
                .append(MessageWriter.query(write("c2", 2000)))
                .writeTo(client.out);
        await(() -> !receivedIds("c1").isEmpty());
        cancel(client.processId, client.secretKey + 1);
        TimeUnit.MILLISECONDS.sleep(300);
        assertThat(client.availableBytes()).isZero();
        primary.manner = Manner.ANSWER;
        replica.manner = Manner.ANSWER;
        long startMillis = System.currentTimeMillis();
        cancel(client.processId, client.secretKey);
        append(client.connection.answer());
        assertThat(System.currentTimeMillis() - startMillis).isLessThan(500);
        append(client.connection.answer());
        assertThat(transcript.toString()).isEqualTo("E:57014 Z\nT D:00ff27 C:SELECT 1 Z\n");
        assertThat(receivedIds("c1")).hasSize(1);
    }

    // ---- Helpers ------------------------------------------------------------------------------------------

    private static MessageWriter pipelinedReads(String name, int queries) {
        MessageWriter messages = new MessageWriter();
        for (int i = 0; i < queries; i++) {
            messages.append(MessageWriter.query(read(name + i + "x", 2000)));
        }
        return messages;
    }

    private static MessageWriter queriesOfLength(int messageBytes, int queries) {
        String query = read("late", 2000);
        String padded = " ".repeat(messageBytes - MessageWriter.query(query).size()) + query;
        MessageWriter messages = new MessageWriter();
        for (int i = 0; i < queries; i++) {
            messages.append(MessageWriter.query(padded));
        }
        return messages;
    }

    /** Sends the beginning of a query of 60 MB. */
    private static void sendUnreadableMessage(TestClient client) throws IOException {
        client.out.write(ByteBuffer.allocate(5).put((byte) 'Q').putInt(60 << 20).array());
        client.out.write(new byte[UNREADABLE_BYTES]);
    }

    /** Sends at full speed until the router has closed the connection. */
    private static void sendUntilClosed(TestClient client) {
        try {
            while (true) {
                client.out.write(new byte[UNREADABLE_BYTES]);
            }
        } catch (IOException e) {
            // The router has closed the connection.
        }
    }

    /** Returns the ids with this prefix that a host received. */
    private List<String> receivedIds(String name) {
        List<String> ids = new ArrayList<>();
        for (HostStandIn host : List.of(primary, replica)) {
            for (String query : host.queries()) {
                if (query.contains("id=" + name)) {
                    ids.add(query.replaceAll(".*(id=[^,]*,).*", "$1"));
                }
            }
        }
        return ids;
    }

    private void assertNoneReceivedAfter(long disconnectedMillis, String name, long watchMillis)
            throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(watchMillis);
        long lastMillis = disconnectedMillis + MAX_DELAY_MILLIS;
        for (String id : receivedIds(name)) {
            assertThat(primary.sawAfter(id, lastMillis) || replica.sawAfter(id, lastMillis))
                    .as(id)
                    .isFalse();
        }
    }

    private boolean acceptsClients() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private void cancel(int processId, int secretKey) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port)) {
            socket.getOutputStream()
                    .write(ByteBuffer.allocate(16)
                            .putInt(16)
                            .putInt(80877102)
                            .putInt(processId)
                            .putInt(secretKey)
                            .array());
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** A client that records its cancel key. */
    private final class ClientWithCancelKey {
        private final Socket socket = closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), router.port));
        private final java.io.OutputStream out = socket.getOutputStream();
        private final TestClient connection;
        private int processId;
        private int secretKey;

        ClientWithCancelKey() throws IOException {
            MessageWriter.startup("app", "shop").writeTo(out);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            ByteArrayOutputStream types = new ByteArrayOutputStream();
            while (!types.toString().endsWith("Z")) {
                types.write(in.readByte());
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                if (types.toString().endsWith("K")) {
                    processId = ByteBuffer.wrap(body).getInt();
                    secretKey = ByteBuffer.wrap(body).getInt(4);
                }
            }
            connection = new TestClient(socket);
        }

        int availableBytes() throws IOException {
            return socket.getInputStream().available();
        }
    }
}
