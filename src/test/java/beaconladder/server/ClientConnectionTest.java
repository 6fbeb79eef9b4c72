package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MemoryLimit;
import beaconladder.pg.MessageWriter;
import beaconladder.testbed.StandInThreads;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ClientConnectionTest {
    private final Map<String, String> settings = new LinkedHashMap<>(
            Map.of("request_classes.count", "1", "family_info.freshness", "loose", "zones", "east"));
    private final RequestDispatcher dispatcher = new RequestDispatcher(1, settings, null);
    private final ThreadLimit threadLimit = new ThreadLimit(192);
    private final MemoryLimit memoryLimit = new MemoryLimit(1 << 20);
    private final DescriptorLimit descriptors = new DescriptorLimit(128);
    private final ServerConnectionPool serverConnections = new ServerConnectionPool(
            dispatcher, settings, threadLimit, memoryLimit, descriptors, ServerConnection::new);

    private ClientServer newClientServer() {
        return new ClientServer(dispatcher, serverConnections, threadLimit, memoryLimit, List.of(), descriptors, 128);
    }

    /**
     * Guards against a query that is read but not answered while an idle connection is closed. On a fraction of a core
     * the reader may be suspended between any two steps, so the query may arrive between any two of them. It must be
     * answered, or stay unread in the socket, so that the operating system resets the connection.
     */
    @Test
    void aQueryThatArrivesWhileAnIdleConnectionIsClosedIsAnsweredOrStaysUnread() throws Exception {
        ClientServer clientServer = newClientServer();
        StringBuilder transcript = new StringBuilder();
        // The first read returns the startup message, two more reads precede the close, and a fourth never happens.
        for (int read = 2; read <= 4; read++) {
            LateQueryChannel channel = new LateQueryChannel(read);
            ClientConnection client = new ClientConnection(clientServer, dispatcher, serverConnections, channel);
            client.onReadable();
            channel.clearWritten();
            // Idle since before now, as the sweep calls it: a query that is answered during the call is an activity.
            boolean closed = client.closeIfIdle(System.nanoTime());
            // The selector reports that the client has received all that was written.
            client.end().onWritable();
            client.writeAnswers(0);
            assertThat(channel.isOpen()).isEqualTo(!closed);
            for (int i = 0; i < 500 && !channel.writtenTypes().contains("Z") && !closed; i++) {
                Thread.sleep(10);
            }
            transcript
                    .append(read)
                    .append(closed ? " ended " : " stays ")
                    .append(channel.unread)
                    .append(" unread, ")
                    .append(channel.writtenTypes())
                    .append('\n');
        }
        assertThat(transcript.toString()).isEqualTo("""
                2 stays 0 unread, IZ
                3 stays 0 unread, IZ
                4 ended 6 unread,\s
                """);
    }

    /**
     * Guards against queries that are read and never answered: outside of the client's turns nobody comes back to what
     * a read has left. The process is paused while it reads the connection to see whether it is idle.
     */
    @Test
    void allQueriesAreAnsweredThatAreReadWhileAnIdleConnectionIsLookedAt() throws Exception {
        ClientServer clientServer = newClientServer();
        LateQueryChannel channel =
                new LateQueryChannel(2, MessageWriter.query("").append(MessageWriter.query("")), 30);
        ClientConnection client = new ClientConnection(clientServer, dispatcher, serverConnections, channel);
        client.onReadable();
        channel.clearWritten();
        assertThat(client.closeIfIdle(System.nanoTime())).isFalse();
        assertThat(channel.writtenTypes()).isEqualTo("IZIZ");
    }

    /** Guards against a client that is rejected as late because the reader was: its startup message had arrived. */
    @Test
    void aStartupMessageThatHasArrivedIsInTimeHoweverLateTheReaderIs() throws Exception {
        LateQueryChannel channel = new LateQueryChannel(2);
        ClientConnection client = new ClientConnection(newClientServer(), dispatcher, serverConnections, channel);
        assertThat(client.sweep(System.nanoTime() + 3_000_000_000L)).isTrue();
        assertThat(channel.writtenTypes()).isEqualTo("RSSSSKZ");
    }

    /** A client whose query arrives right before the read with this number, or before the close. */
    private static final class LateQueryChannel implements ClientChannel {
        private final int queryAtRead;
        private final MessageWriter queries;
        private final int pauseMillis;
        private int reads;
        private int unread;
        private boolean closed;
        private final ByteBuffer written = ByteBuffer.allocate(4096);

        LateQueryChannel(int queryAtRead) {
            this(queryAtRead, MessageWriter.query(""), 0);
        }

        /** Each read of queries takes as long as the pause. */
        LateQueryChannel(int queryAtRead, MessageWriter queries, int pauseMillis) {
            this.queryAtRead = queryAtRead;
            this.queries = queries;
            this.pauseMillis = pauseMillis;
        }

        @Override
        public synchronized int read(ByteBuffer into) {
            reads++;
            byte[] bytes = reads == 1
                    ? bytes(MessageWriter.startup("app", "shop"))
                    : reads == queryAtRead ? bytes(queries) : new byte[0];
            StandInThreads.sleep(reads == queryAtRead ? pauseMillis : 0);
            into.put(bytes);
            return bytes.length;
        }

        @Override
        public synchronized int write(ByteBuffer from) {
            int n = from.remaining();
            written.put(from);
            return n;
        }

        synchronized void clearWritten() {
            written.clear();
        }

        /** Returns the types of the messages written. */
        synchronized String writtenTypes() {
            StringBuilder types = new StringBuilder();
            for (int i = 0; i < written.position(); i += 1 + written.getInt(i + 1)) {
                types.append(new String(written.array(), i, 1, StandardCharsets.US_ASCII));
            }
            return types.toString();
        }

        @Override
        public void reset() {
            close();
        }

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
