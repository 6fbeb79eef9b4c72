package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.cells.CellAdmission;
import beaconladder.cells.RouterCapacity;
import beaconladder.cells.StaticPlacement;
import beaconladder.pg.MemoryLimit;
import beaconladder.pg.MessageWriter;
import beaconladder.plan.PlanReader;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Internal errors of the router while it answers queries that were written at once. */
class ConnectionFaultTest {
    private static final String READ = "SELECT doc FROM items WHERE id = 'k' /* id=%s,c=any,t=acme,d=900,cluster=1 */";
    private static final int MAX_CLIENT_DESCRIPTORS = 128;
    private static final int MAX_REQUESTS = 40;
    private static final int MEMORY_MB = 192;
    private static final int MESSAGE_BYTES = 1 << 20;
    private static final long LONG_AFTER_NANOS = 60_000_000_000L;

    @TempDir
    Path folder;

    /** Guards against queries that are dropped with their connection as another one meets an internal error. */
    @Test
    void eachQueryIsAnsweredWhereAnsweringOneOfThemFails() throws Exception {
        FaultyChannel channel = new FaultyChannel(MessageWriter.startup("app", "shop")
                .append(MessageWriter.query(READ.formatted("q1")))
                .append(MessageWriter.query(""))
                .append(MessageWriter.query(READ.formatted("q2"))));
        channel.addressFails = true;
        newClient(channel).onReadable();
        Awaitility.await().until(() -> channel.written().length() >= 12);
        assertThat(channel.written()).isEqualTo("RSSSSKZ" + "EZ" + "IZ" + "EZ");
        assertThat(channel.text()).contains("C40003");
        assertThat(channel.isOpen()).isTrue();
    }

    /** Guards against an orderly end without a word where reading a connection fails behind queries. */
    @Test
    void aConnectionWhoseReadingFailsEndsAfterTheAnswersAndAnError() throws Exception {
        FaultyChannel channel =
                new FaultyChannel(MessageWriter.startup("app", "shop").append(MessageWriter.query("")));
        ClientConnection client = newClient(channel);
        client.onReadable();
        channel.readFails = true;
        assertThat(client.onReadable()).isTrue();
        assertThat(channel.written()).isEqualTo("RSSSSKZ" + "IZ" + "E");
        assertThat(channel.text()).contains("CXX000");
        channel.readFails = false;
        assertThat(client.sweep(System.nanoTime() + LONG_AFTER_NANOS)).isFalse();
        assertThat(channel.isOpen()).isFalse();
    }

    private ClientConnection newClient(FaultyChannel channel) throws Exception {
        Path plan = folder.resolve("router.plan");
        Files.writeString(plan, "(cell north (groups 1) (share 100%)) (tenant acme (cell north))");
        Map<String, String> settings = Map.of(
                "request_classes.count", "1",
                "request_classes.0.name", "any",
                "request_classes.0.effect", "pure",
                "family_info.freshness", "loose",
                "zones", "east");
        CellAdmission admission = new CellAdmission(
                "n0",
                new StaticPlacement(PlanReader.read(plan).plan()),
                new RouterCapacity(MAX_REQUESTS, MAX_CLIENT_DESCRIPTORS, MESSAGE_BYTES));
        RequestDispatcher dispatcher = new RequestDispatcher(1, settings, admission);
        ThreadLimit threadLimit = new ThreadLimit(MEMORY_MB);
        MemoryLimit memoryLimit = new MemoryLimit(MESSAGE_BYTES);
        DescriptorLimit descriptors = new DescriptorLimit(MAX_CLIENT_DESCRIPTORS);
        ServerConnectionPool serverConnections = new ServerConnectionPool(
                dispatcher, settings, threadLimit, memoryLimit, descriptors, ServerConnection::new);
        ClientServer clientServer = new ClientServer(
                dispatcher,
                serverConnections,
                threadLimit,
                memoryLimit,
                List.of(memoryLimit),
                descriptors,
                MAX_CLIENT_DESCRIPTORS);
        return new ClientConnection(clientServer, dispatcher, serverConnections, channel);
    }

    /** A client that has sent all its messages, on a connection whose calls can be made to fail. */
    private static final class FaultyChannel implements ClientChannel {
        private final ByteBuffer sent;
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();
        private volatile boolean addressFails;
        private volatile boolean readFails;
        private volatile boolean open = true;

        FaultyChannel(MessageWriter sent) {
            this.sent = sent.asByteBuffer();
        }

        @Override
        public int read(ByteBuffer target) {
            if (readFails) {
                throw new IllegalStateException("a fault of the test");
            }
            int count = Math.min(sent.remaining(), target.remaining());
            target.put(sent.slice().limit(count));
            sent.position(sent.position() + count);
            return count;
        }

        @Override
        public synchronized int write(ByteBuffer source) {
            byte[] bytes = new byte[source.remaining()];
            source.get(bytes);
            written.writeBytes(bytes);
            return bytes.length;
        }

        @Override
        public InetAddress remoteAddress() {
            if (addressFails) {
                throw new IllegalStateException("a fault of the test");
            }
            return InetAddress.getLoopbackAddress();
        }

        synchronized String text() {
            return written.toString(StandardCharsets.UTF_8);
        }

        /** Returns the types of the messages written. */
        synchronized String written() {
            StringBuilder types = new StringBuilder();
            ByteBuffer bytes = ByteBuffer.wrap(written.toByteArray());
            for (int i = 0; i < bytes.capacity(); i += 1 + bytes.getInt(i + 1)) {
                types.append((char) bytes.get(i));
            }
            return types.toString();
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public void reset() {
            close();
        }

        @Override
        public void close() {
            open = false;
        }
    }
}
