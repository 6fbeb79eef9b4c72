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
     * On a part of a core the reader may stand still between any two steps. Wherever a query comes in while an idle
     * client is ended, it is either answered, or stays unread in the socket, which the operating system tells the
     * client by a reset.
     */
    @Test
    void aQueryThatComesWhileAnIdleClientIsEndedIsAnsweredOrStaysUnread() throws Exception {
        Map<String, String> start = new LinkedHashMap<>(
                Map.of("request_classes.count", "1", "family_info.freshness", "loose", "zones", "east"));
        RequestDispatcher desk = new RequestDispatcher(1, start, null);
        ThreadLimit threads = new ThreadLimit(192);
        MemoryLimit room = new MemoryLimit(1 << 20);
        DescriptorLimit descriptors = new DescriptorLimit(128);
        ServerConnectionPool lines =
                new ServerConnectionPool(desk, start, threads, room, descriptors, ServerConnection::new);
        ClientServer clients = new ClientServer(desk, lines, threads, room, List.of(), descriptors, 128);
        StringBuilder trace = new StringBuilder();
        // The startup message is the first read; two looks come before the close; the third is never taken.
        for (int read = 2; read <= 4; read++) {
            Late wire = new Late(read);
            ClientConnection client = new ClientConnection(clients, desk, lines, wire);
            client.onReadable();
            wire.clear();
            boolean ended = client.closeIfIdle(Long.MAX_VALUE);
            for (int i = 0; i < 500 && !wire.said().contains("Z") && !ended; i++) {
                Thread.sleep(10);
            }
            trace.append(read)
                    .append(ended ? " ended " : " stays ")
                    .append(wire.unread)
                    .append(" unread, ")
                    .append(wire.said())
                    .append('\n');
        }
        assertThat(trace.toString()).isEqualTo("""
                2 stays 0 unread, IZ
                3 stays 0 unread, IZ
                4 ended 6 unread,\s
                """);
    }

    /** A client whose query comes right before the reader's read of this number, or its close. */
    private static final class Late implements ClientChannel {
        private final int at;
        private int reads;
        private int unread;
        private boolean closed;
        private final ByteBuffer written = ByteBuffer.allocate(4096);

        Late(int at) {
            this.at = at;
        }

        @Override
        public synchronized int read(ByteBuffer into) {
            reads++;
            byte[] bytes = reads == 1
                    ? bytes(MessageWriter.startup("app", "shop"))
                    : reads == at ? bytes(MessageWriter.query("")) : new byte[0];
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
        synchronized String said() {
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
            if (!closed && reads < at) {
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
