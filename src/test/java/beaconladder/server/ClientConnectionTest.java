package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MemoryLimit;
import beaconladder.pg.MessageWriter;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ClientConnectionTest {
    /**
     * On a fraction of a core the reader may be suspended between any two steps. Whenever a query arrives while an idle
     * connection is closed, it is either answered, or stays unread in the socket, of which the operating system informs
     * the client by a reset.
     */
    @Test
    void aQueryThatArrivesWhileAnIdleConnectionIsClosedIsAnsweredOrStaysUnread() throws Exception {
        Map<String, String> start = new LinkedHashMap<>(
                Map.of("request_classes.count", "1", "family_info.freshness", "loose", "zones", "east"));
        RequestDispatcher dispatcher = new RequestDispatcher(1, start, null);
        ThreadLimit threadLimit = new ThreadLimit(192);
        MemoryLimit memoryLimit = new MemoryLimit(1 << 20);
        DescriptorLimit descriptors = new DescriptorLimit(128);
        ServerConnectionPool serverConnections = new ServerConnectionPool(
                dispatcher, start, threadLimit, memoryLimit, descriptors, ServerConnection::new);
        ClientServer clientServer =
                new ClientServer(dispatcher, serverConnections, threadLimit, memoryLimit, List.of(), descriptors, 128);
        StringBuilder trace = new StringBuilder();
        // The first read gets the startup message; two reads come before the close; a third never happens.
        for (int read = 2; read <= 4; read++) {
            LateQueryChannel channel = new LateQueryChannel(read);
            ClientConnection client = new ClientConnection(clientServer, dispatcher, serverConnections, channel);
            client.onReadable();
            channel.clear();
            // Idle since before now, as the sweep asks it: a query that is answered during the call is a use.
            boolean ended = client.closeIfIdle(System.nanoTime());
            for (int i = 0; i < 500 && !channel.writtenTypes().contains("Z") && !ended; i++) {
                Thread.sleep(10);
            }
            trace.append(read)
                    .append(ended ? " ended " : " stays ")
                    .append(channel.unread)
                    .append(" unread, ")
                    .append(channel.writtenTypes())
                    .append('\n');
        }
        assertThat(trace.toString()).isEqualTo("""
                2 stays 0 unread, IZ
                3 stays 0 unread, IZ
                4 ended 6 unread,\s
                """);
    }

    /** A client whose query arrives right before the read of this number, or before the close. */
    private static final class LateQueryChannel implements ClientChannel {
        private final int queryAtRead;
        private int reads;
        private int unread;
        private boolean closed;
        private final ByteBuffer written = ByteBuffer.allocate(4096);

        LateQueryChannel(int queryAtRead) {
            this.queryAtRead = queryAtRead;
        }

        @Override
        public synchronized int read(ByteBuffer into) {
            reads++;
            byte[] bytes = reads == 1
                    ? bytes(MessageWriter.startup("app", "shop"))
                    : reads == queryAtRead ? bytes(MessageWriter.query("")) : new byte[0];
            into.put(bytes);
            return bytes.length;
        }

        @Override
        public synchronized int write(ByteBuffer from) {
            int n = from.remaining();
            written.put(from);
            return n;
        }

        synchronized void clear() {
            written.clear();
        }

        /** The types of the messages written. */
        synchronized String writtenTypes() {
            StringBuilder types = new StringBuilder();
            for (int i = 0; i < written.position(); i += 1 + written.getInt(i + 1)) {
                types.append(new String(written.array(), i, 1, StandardCharsets.US_ASCII));
            }
            return types.toString();
        }

        @Override
        public void shutdownOutput() {}

        @Override
        public synchronized boolean isOpen() {
            return !closed;
        }

        @Override
        public synchronized void close() {
            if (!closed && reads < queryAtRead) {
                unread = MessageWriter.query("").size();
            }
            closed = true;
        }

        private static byte[] bytes(MessageWriter out) {
            byte[] bytes = new byte[out.size()];
            out.asByteBuffer().get(bytes);
            return bytes;
        }
    }
}
