package beaconladder.serve;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.api.Router.Word;
import beaconladder.pg.Outbox;
import beaconladder.pg.Room;
import beaconladder.pg.Statement;
import beaconladder.roster.Watch;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What becomes of a once-only write whose exchange with its host ends in a way that nobody foresaw. */
@Timeout(20)
class LinesTest {
    private static final Map<String, String> SETTINGS = new LinkedHashMap<>(Map.of(
            "request_classes.count", "1", "request_classes.0.name", "write",
            "request_classes.0.effect", "side_effect", "request_classes.0.give_up_us", "2000000",
            "family_info.freshness", "update", "limits.max_attempts", "6", "limits.probes", "false",
            "limits.cancel", "true", "zones", "east", "limits.conn_idle_us", "15000000"));
    private static final int USES = 5;
    private static final String WRITE = "INSERT INTO items (id, doc) VALUES ('k', '\\x00') RETURNING doc "
            + "/* id=w1,c=write,t=acme,d=2000,cluster=1 */";

    private final AtomicInteger written = new AtomicInteger();
    private final Desk desk = new Desk(1, SETTINGS, null);

    /** Sends a write by connections of this kind until it has its final answer. */
    private Hand.Order finalAnswer(Lines.Opener opener) throws Exception {
        Lines lines = new Lines(desk, SETTINGS, new Threads(192), new Room(1 << 20), new Descriptors(128),
                opener);
        desk.errands(lines);
        desk.listed(true, List.of(entry(new InetSocketAddress("127.0.0.1", 1))));
        Thread timer = new Thread(desk.timer());
        timer.setDaemon(true);
        timer.start();
        long now = desk.now();
        Statement statement = Statement.read(WRITE);
        Hand hand = desk.take("w1", 0, desk.group(1), statement, Word.NONE, now, now + 2_000_000_000L, null);
        for (Hand.Order order = hand.take();; order = hand.take()) {
            if (order.kind() != Hand.Kind.SEND) {
                desk.stop();
                return order;
            }
            lines.send(order, statement);
        }
    }

    @Test
    void whatFailsInAnUnforeseenWayBehindTheQueryMayHaveRun() throws Exception {
        Hand.Order answer = finalAnswer((address, room) -> new Line(address, room, new FaultySocket(
                new IllegalStateException("a fault of our own while the answer is read"))));
        assertThat(written.get()).as("queries written to a host").isEqualTo(1);
        assertThat(answer.kind()).isEqualTo(Hand.Kind.ROLLED_BACK);
    }

    @Test
    void norIsItSentAgainWhereMemoryRanOut() throws Exception {
        Hand.Order answer = finalAnswer((address, room) -> new Line(address, room, new FaultySocket(
                new Error("as where memory runs out while the answer is read"))));
        assertThat(written.get()).as("queries written to a host").isEqualTo(1);
        assertThat(answer.kind()).isEqualTo(Hand.Kind.ROLLED_BACK);
    }

    /** Read in the same paths: a connection found dead, and then none to be had in its place. */
    @Test
    void aConnectionThatIsOfNoUseGivesItsDescriptorBackOnce() throws Exception {
        Descriptors descriptors = new Descriptors(128);
        InetSocketAddress moved = new InetSocketAddress("127.0.0.1", 2);
        Lines lines = new Lines(desk, SETTINGS, new Threads(192), new Room(1 << 20), descriptors, (address,
                room) -> {
            if (address.equals(moved)) {
                throw new IOException("no buffer space available");
            }
            return new Line(address, room, new Tape(new byte[0], query -> answer(query, moved)));
        });
        desk.errands(lines);
        desk.listed(true, List.of(entry(new InetSocketAddress("127.0.0.1", 1))));
        Statement statement = Statement.read(WRITE);
        // Connections to a host that was used less are not kept.
        for (int i = 0; i <= USES; i++) {
            Hand hand = desk.take("w" + i, 0, desk.group(1), statement, Word.NONE, desk.now(),
                    desk.now() + 100_000_000, null);
            lines.send(hand.take(), statement);
            // An idle connection is used again once it has rested.
            Thread.sleep(10);
            desk.left(hand);
        }
        assertThat(descriptors.held(Descriptors.Use.HOST)).isZero();
    }

    /**
     * While it answers for the last time, its host moves: the connection goes back to those that wait, of no
     * use any more.
     */
    private byte[] answer(byte[] query, InetSocketAddress moved) {
        Outbox out = new Outbox();
        if (query[0] == 'Q') {
            if (written.incrementAndGet() == USES) {
                desk.listed(false, List.of(entry(moved)));
            }
            out.row("doc", new byte[] {1}).commandComplete("INSERT 0 1").ready();
        } else {
            out.authenticationOk().ready();
        }
        byte[] bytes = new byte[out.size()];
        out.bytes().get(bytes);
        return bytes;
    }

    private static Watch.Entry entry(InetSocketAddress address) {
        return new Watch.Entry("a", address, "east", 1, Watch.State.READY, true, 0);
    }

    /** A host that greets, takes a query, and whose answer can't be read for a fault of this kind. */
    private final class FaultySocket extends Socket {
        private final Throwable fault;
        private final byte[] greeting;
        private int at;
        private volatile boolean asked;

        FaultySocket(Throwable fault) {
            this.fault = fault;
            Outbox out = new Outbox().authenticationOk().ready();
            greeting = new byte[out.size()];
            out.bytes().get(greeting);
        }

        @Override
        public void connect(SocketAddress address, int millis) {
            // It is there.
        }

        @Override
        public void setTcpNoDelay(boolean on) {
            // Nothing delays it.
        }

        @Override
        public void setSoTimeout(int millis) {
            // It answers at once.
        }

        @Override
        public InputStream getInputStream() {
            return new InputStream() {
                @Override
                public int read() {
                    throw new UnsupportedOperationException();
                }

                @Override
                public int read(byte[] into, int from, int most) throws IOException {
                    if (asked) {
                        if (fault instanceof Error error) {
                            throw error;
                        }
                        throw (RuntimeException) fault;
                    }
                    int n = Math.min(most, greeting.length - at);
                    System.arraycopy(greeting, at, into, from, n);
                    at += n;
                    return n;
                }
            };
        }

        @Override
        public OutputStream getOutputStream() {
            return new OutputStream() {
                @Override
                public void write(int b) {
                    throw new UnsupportedOperationException();
                }

                @Override
                public void write(byte[] from, int start, int length) {
                    if (from[start] == 'Q') {
                        asked = true;
                        written.incrementAndGet();
                    }
                }
            };
        }
    }
}
