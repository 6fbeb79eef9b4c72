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

/**
 * After a client closes or cancels, no attempt for it begins more than a tenth of a second later, as seen by the hosts.
 */
@Timeout(60)
class DisconnectedClientsIT extends RouterProcessFixture {
    private static final long MAX_DELAY_MILLIS = 100;

    /** Its close follows queries that have not been read yet. */
    @Test
    void nothingIsForwardedFromAFullPipelineAfterItsClientHasClosed() throws Exception {
        start();
        TestClient c = connect();
        query(c, read("warm", 2000));
        primary.delayMillis = 400;
        replica.delayMillis = 400;
        pipeline("p", 200).writeTo(c.out);
        // It has read what it received, so that its close is orderly and no reset.
        c.answer();
        await(() -> seen("p").size() >= 2);
        c.close();
        nothingAfter(System.currentTimeMillis(), "p", 1_500);
    }

    /** The last that arrives from it is half a message. */
    @Test
    void nothingIsForwardedForAClientThatClosesInTheMiddleOfAMessage() throws Exception {
        start();
        TestClient c = connect();
        query(c, read("warm", 2000));
        primary.delayMillis = 300;
        replica.delayMillis = 300;
        MessageWriter all = pipeline("h", 5);
        all.writeTo(c.out);
        c.out.write(new byte[] {'Q', 0, 0, 1, 0, 'S', 'E'});
        await(() -> seen("h").size() >= 1);
        c.close();
        nothingAfter(System.currentTimeMillis(), "h", 1_500);
    }

    /** The router is draining, and has read the connection for the last time. */
    @Test
    void nothingIsForwardedForAClientThatClosesAfterTheFinalReadOfADrain() throws Exception {
        start();
        TestClient c = connect();
        query(c, read("warm", 2000));
        primary.delayMillis = 400;
        replica.delayMillis = 400;
        router.signal("TERM");
        TimeUnit.MILLISECONDS.sleep(450);
        pipeline("d", 4).writeTo(c.out);
        await(() -> !acceptsClients());
        c.close();
        nothingAfter(System.currentTimeMillis(), "d", 1_500);
        assertThat(router.process.waitFor(10, TimeUnit.SECONDS)).isTrue();
    }

    /** What arrives after the final read of a drain while an answer is due is rejected, and not forwarded. */
    @Test
    void whatArrivesAfterTheFinalReadOfADrainIsRejectedInItsTurn() throws Exception {
        start();
        TestClient c = connect();
        query(c, read("warm", 2000));
        primary.delayMillis = 500;
        replica.delayMillis = 500;
        router.signal("TERM");
        TimeUnit.MILLISECONDS.sleep(450);
        pipeline("in", 1).writeTo(c.out);
        await(() -> !acceptsClients());
        pipeline("late", 2).writeTo(c.out);
        append(c.answer(), c.answer(), c.answer(), c.answer());
        assertThat(transcript.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\nE:57P03 Z\nE:57P03 Z\nclosed\n");
        assertThat(seen("late")).isEmpty();
    }

    /** The host is slow to complete the startup, and the client closes meanwhile. */
    @Test
    void nothingIsSentOverAConnectionThatOpensAfterTheClientHasClosed() throws Exception {
        start();
        TestClient c = connect();
        primary.closesAfterAnswer = true;
        replica.closesAfterAnswer = true;
        for (int i = 0; i < 4; i++) {
            query(c, read("warm" + i, 2000));
        }
        primary.greetMillis = 200;
        replica.greetMillis = 200;
        MessageWriter.query(read("g1", 2000)).writeTo(c.out);
        TimeUnit.MILLISECONDS.sleep(20);
        c.close();
        nothingAfter(System.currentTimeMillis(), "g", 1_000);
    }

    /** They wait for a primary, all close at once, and then there is a primary again. */
    @Test
    void nothingIsForwardedForManyClientsThatCloseAtOnceWhileTheyWait() throws Exception {
        start();
        TestClient first = connect();
        query(first, write("warm", 2000));
        primary.manner = Manner.MISS;
        List<TestClient> all = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            all.add(connect());
            MessageWriter.query(write("m" + i + "x", 2000)).writeTo(all.get(i).out);
        }
        await(() -> !seen("m").isEmpty());
        TimeUnit.MILLISECONDS.sleep(100);
        for (TestClient c : all) {
            c.close();
        }
        long gone = System.currentTimeMillis();
        primary.manner = Manner.ANSWER;
        nothingAfter(gone, "m", 1_500);
        await(() -> query(first, write("again", 2000)).contains("C:"));
    }

    @Test
    void aCancelRequestCancelsTheQueryInFlightOnItsConnectionOnly() throws Exception {
        start();
        Keyed c = new Keyed();
        primary.manner = Manner.SILENT;
        replica.manner = Manner.SILENT;
        MessageWriter.query(write("c1", 2000))
                .append(MessageWriter.query(write("c2", 2000)))
                .writeTo(c.out);
        await(() -> !seen("c1").isEmpty());
        cancel(c.process, c.secret + 1);
        TimeUnit.MILLISECONDS.sleep(300);
        assertThat(c.waiting()).isZero();
        primary.manner = Manner.ANSWER;
        replica.manner = Manner.ANSWER;
        long from = System.currentTimeMillis();
        cancel(c.process, c.secret);
        append(c.caller.answer());
        assertThat(System.currentTimeMillis() - from).isLessThan(500);
        append(c.caller.answer());
        assertThat(transcript.toString()).isEqualTo("E:57014 Z\nT D:00ff27 C:SELECT 1 Z\n");
        assertThat(seen("c1")).hasSize(1);
    }

    // ---- Helpers ------------------------------------------------------------------------------------------

    private static MessageWriter pipeline(String name, int queries) {
        MessageWriter all = new MessageWriter();
        for (int i = 0; i < queries; i++) {
            all.append(MessageWriter.query(read(name + i + "x", 2000)));
        }
        return all;
    }

    /** The ids with this prefix that a host saw. */
    private List<String> seen(String name) {
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

    private void nothingAfter(long gone, String name, long watch) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(watch);
        for (String id : seen(name)) {
            assertThat(primary.sawBefore(id, gone + MAX_DELAY_MILLIS) || replica.sawBefore(id, gone + MAX_DELAY_MILLIS))
                    .as(id)
                    .isTrue();
        }
    }

    private boolean acceptsClients() {
        try (Socket one = new Socket(InetAddress.getLoopbackAddress(), router.port)) {
            return one.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private void cancel(int process, int secret) throws IOException {
        try (Socket one = new Socket(InetAddress.getLoopbackAddress(), router.port)) {
            one.getOutputStream()
                    .write(ByteBuffer.allocate(16)
                            .putInt(16)
                            .putInt(80877102)
                            .putInt(process)
                            .putInt(secret)
                            .array());
            assertThat(one.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** A client that keeps its cancel key. */
    private final class Keyed {
        private final Socket socket = closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), router.port));
        private final java.io.OutputStream out = socket.getOutputStream();
        private final TestClient caller;
        private int process;
        private int secret;

        Keyed() throws IOException {
            MessageWriter.startup("app", "shop").writeTo(out);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            ByteArrayOutputStream types = new ByteArrayOutputStream();
            while (!types.toString().endsWith("Z")) {
                types.write(in.readByte());
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                if (types.toString().endsWith("K")) {
                    process = ByteBuffer.wrap(body).getInt();
                    secret = ByteBuffer.wrap(body).getInt(4);
                }
            }
            caller = new TestClient(socket);
        }

        int waiting() throws IOException {
            return socket.getInputStream().available();
        }
    }
}
