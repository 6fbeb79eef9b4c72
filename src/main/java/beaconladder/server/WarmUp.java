package beaconladder.server;

import beaconladder.discovery.EndpointWatch;
import beaconladder.invariants.Violations;
import beaconladder.pg.MemoryLimit;
import beaconladder.pg.MessageWriter;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/**
 * Plays txns from client to host and back in memory, to a router that is then thrown away, so that the first clients
 * don't wait for cold code: on half a core a cold router took five seconds to catch up with them.
 */
final class WarmUp {
    private static final int CLIENTS = 6;
    /** After so many all that lies on a txn's way has been compiled. */
    private static final int TXNS = 3_000;
    /** A restart is not to take much longer for it: the others carry this router's load meanwhile. */
    private static final long LONGEST_MILLIS = 1_000;

    private WarmUp() {}

    static void run(RouterConfiguration stated, ThreadLimit threads) throws InterruptedException {
        MemoryLimit room = new MemoryLimit(1 << 20);
        RequestDispatcher desk = new RequestDispatcher(
                1,
                stated.settings(),
                null,
                // Cold code is slow, and no client is there yet: what it takes too long for is no violation.
                new Monitor(stated.settings(), Violations.unlogged()));
        InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
        InetSocketAddress primary = new InetSocketAddress("127.0.0.1", 2);
        DescriptorLimit descriptors = new DescriptorLimit(stated.descriptors());
        ServerConnectionPool lines = new ServerConnectionPool(
                desk,
                stated.settings(),
                threads,
                room,
                descriptors,
                (address, of) -> new ServerConnection(
                        address,
                        of,
                        new InMemorySocket(new byte[0], written -> host(written, address.equals(primary)))));
        desk.setHostActions(lines);
        desk.onEndpoints(
                true,
                List.of(
                        new EndpointWatch.Entry("a", primary, "", 0, EndpointWatch.State.READY, true, 0),
                        new EndpointWatch.Entry("b", nowhere, "", 0, EndpointWatch.State.READY, false, 0),
                        new EndpointWatch.Entry("c", nowhere, "", 0, EndpointWatch.State.READY, false, 0)));
        ClientServer clients =
                new ClientServer(desk, lines, threads, room, List.of(), descriptors, stated.descriptors());
        List<String> types = new ArrayList<>();
        for (String name; (name = stated.settings().get("request_classes." + types.size() + ".name")) != null; ) {
            types.add(name);
        }
        if (types.isEmpty()) {
            return;
        }
        Thread timer = threads.newThread(desk.timer());
        timer.start();
        AtomicInteger left = new AtomicInteger(TXNS);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            ClientTape tape = new ClientTape(bytes(MessageWriter.startup("app", "shop")), written -> {
                int n = left.decrementAndGet();
                return n < 0 ? null : bytes(MessageWriter.query(query(desk, types, n)));
            });
            ClientConnection client = new ClientConnection(clients, desk, lines, tape);
            boolean started = threads.tryExecute(() -> {
                try {
                    while (client.onReadable()) {
                        tape.await();
                    }
                } finally {
                    done.countDown();
                }
            });
            if (!started) {
                done.countDown();
            }
        }
        done.await(LONGEST_MILLIS, TimeUnit.MILLISECONDS);
        left.set(0);
        desk.stop();
        timer.interrupt();
    }

    private static String query(RequestDispatcher desk, List<String> types, int n) {
        int type = n % types.size();
        String comment = " /* id=" + n + ",c=" + types.get(type) + ",t=t,d=900,cluster=0,after="
                + (desk.nowNanos() / 1_000_000 - 50) + " */";
        return desk.isWrite(type)
                ? "INSERT INTO items (id, doc) VALUES ('k" + n + "', '\\x00') RETURNING doc" + comment
                : "SELECT doc FROM items WHERE id = 'k" + n + "'" + comment;
    }

    /** What a host says to this: the startup message, a probe, or a statement. */
    private static byte[] host(byte[] written, boolean primary) {
        if (written[0] != 'Q') {
            return bytes(new MessageWriter().authenticationOk().readyForQuery());
        }
        long millis = System.currentTimeMillis();
        String load = "x0=" + millis / 1_000 + ",x1=" + (primary ? 1 : 0) + ",inflight=1";
        boolean probe = written.length < 32;
        return bytes(new MessageWriter()
                .parameterStatus("node_role", primary ? "leader" : "follower")
                .parameterStatus("replay_position", String.valueOf(millis))
                .parameterStatus("server_load", load)
                .singleColumnResult("doc", probe ? load.getBytes(StandardCharsets.US_ASCII) : new byte[64])
                .commandComplete(probe ? "SHOW" : "SELECT 1")
                .readyForQuery());
    }

    private static byte[] bytes(MessageWriter out) {
        byte[] bytes = new byte[out.size()];
        out.asByteBuffer().get(bytes);
        return bytes;
    }

    /** A client in memory, which answers each write of the router's with its next query. */
    private static final class ClientTape implements ClientChannel {
        private final UnaryOperator<byte[]> answer;
        private ByteBuffer next;

        ClientTape(byte[] first, UnaryOperator<byte[]> answer) {
            this.next = ByteBuffer.wrap(first);
            this.answer = answer;
        }

        synchronized void await() {
            try {
                if (next != null && !next.hasRemaining()) {
                    wait(LONGEST_MILLIS);
                }
            } catch (InterruptedException e) {
                close();
            }
        }

        @Override
        public synchronized int read(ByteBuffer into) {
            if (next == null) {
                return -1;
            }
            int n = Math.min(into.remaining(), next.remaining());
            into.put(next.slice().limit(n));
            next.position(next.position() + n);
            return n;
        }

        @Override
        public synchronized int write(ByteBuffer from) {
            byte[] written = new byte[from.remaining()];
            from.get(written);
            byte[] said = next == null ? null : answer.apply(written);
            next = said == null ? null : ByteBuffer.wrap(said);
            notifyAll();
            return written.length;
        }

        @Override
        public void shutdownOutput() {
            close();
        }

        @Override
        public synchronized boolean isOpen() {
            return next != null;
        }

        @Override
        public synchronized void close() {
            next = null;
            notifyAll();
        }
    }
}
