package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.HostStandIn.Manner;
import beaconladder.testbed.TestClient;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** After a client closes its connection or cancels a query, no attempt for it begins more than 100 ms later. */
@Timeout(60)
class DisconnectedClientsIT extends RouterProcessFixture {
    private static final long MAX_DELAY_MILLIS = 100;

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
        for (String id : receivedIds(name)) {
            assertThat(primary.sawBefore(id, disconnectedMillis + MAX_DELAY_MILLIS)
                            || replica.sawBefore(id, disconnectedMillis + MAX_DELAY_MILLIS))
                    .as(id)
                    .isTrue();
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
