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
 * Sends requests through a temporary router in memory, from client to host and back, so that the JVM has compiled the
 * code before the first clients connect. On half a core, a router without warm-up took five seconds to catch up with
 * its clients.
 */
final class WarmUp {
    private static final int CLIENTS = 6;
    /** After this many requests, all code on the path of a request is compiled. */
    private static final int REQUEST_COUNT = 3_000;
    /** Upper bound of the warm-up: during a restart the other routers carry this router's load. */
    private static final long MAX_DURATION_MILLIS = 1_000;

    private static final long MEMORY_BYTES = 1 << 20;
    /** A query shorter than this is a probe; statements are longer. */
    private static final int MAX_PROBE_BYTES = 32;

    private WarmUp() {}

    /** Runs the warm-up for at most a second; without request classes there is nothing to run. */
    static void run(RouterConfiguration configuration, ThreadLimit threads) throws InterruptedException {
        MemoryLimit memoryLimit = new MemoryLimit(MEMORY_BYTES);
        RequestDispatcher dispatcher = new RequestDispatcher(
                1,
                configuration.settings(),
                null,
                // Code that is not compiled yet is slow, and no client waits for it: exceeding a time limit during
                // the warm-up is no violation.
                new Monitor(configuration.settings(), Violations.unlogged()));
        InetSocketAddress replica = new InetSocketAddress("127.0.0.1", 1);
        InetSocketAddress primary = new InetSocketAddress("127.0.0.1", 2);
        DescriptorLimit descriptors = new DescriptorLimit(configuration.descriptors());
        ServerConnectionPool connectionPool = new ServerConnectionPool(
                dispatcher,
                configuration.settings(),
                threads,
                memoryLimit,
                descriptors,
                (address, connectionMemory) -> new ServerConnection(
                        address,
                        connectionMemory,
                        new InMemorySocket(new byte[0], written -> hostResponse(written, address.equals(primary)))));
        dispatcher.setHostActions(connectionPool);
        dispatcher.onEndpoints(
                true,
                List.of(
                        new EndpointWatch.Entry("a", primary, "", 0, EndpointWatch.State.READY, true, 0),
                        new EndpointWatch.Entry("b", replica, "", 0, EndpointWatch.State.READY, false, 0),
                        new EndpointWatch.Entry("c", replica, "", 0, EndpointWatch.State.READY, false, 0)));
        ClientServer clients = new ClientServer(
                dispatcher, connectionPool, threads, memoryLimit, List.of(), descriptors, configuration.descriptors());
        List<String> requestClasses = new ArrayList<>();
        for (String name;
                (name = configuration.settings().get("request_classes." + requestClasses.size() + ".name")) != null; ) {
            requestClasses.add(name);
        }
        if (requestClasses.isEmpty()) {
            return;
        }
        Thread timer = RequiredThread.start(() -> threads.newThread(dispatcher.timer()));
        AtomicInteger remainingRequests = new AtomicInteger(REQUEST_COUNT);
        CountDownLatch finished = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            InMemoryClient channel = new InMemoryClient(bytes(MessageWriter.startup("app", "shop")), written -> {
                int n = remainingRequests.decrementAndGet();
                return n < 0 ? null : bytes(MessageWriter.query(query(dispatcher, requestClasses, n)));
            });
            ClientConnection client = new ClientConnection(clients, dispatcher, connectionPool, channel);
            boolean started = threads.tryExecute(() -> {
                try {
                    while (client.onReadable()) {
                        channel.await();
                    }
                } finally {
                    finished.countDown();
                }
            });
            if (!started) {
                finished.countDown();
            }
        }
        finished.await(MAX_DURATION_MILLIS, TimeUnit.MILLISECONDS);
        remainingRequests.set(0);
        dispatcher.stop();
        timer.interrupt();
    }

    private static String query(RequestDispatcher dispatcher, List<String> requestClasses, int n) {
        int classIndex = n % requestClasses.size();
        String comment = " /* id=" + n + ",c=" + requestClasses.get(classIndex) + ",t=t,d=900,cluster=0,after="
                + (dispatcher.nowNanos() / 1_000_000 - 50) + " */";
        return dispatcher.isWrite(classIndex)
                ? "INSERT INTO items (id, doc) VALUES ('k" + n + "', '\\x00') RETURNING doc" + comment
                : "SELECT doc FROM items WHERE id = 'k" + n + "'" + comment;
    }

    /** Returns a host's response to a startup message, a probe or a statement. */
    private static byte[] hostResponse(byte[] written, boolean primary) {
        if (written[0] != 'Q') {
            return bytes(new MessageWriter().authenticationOk().readyForQuery());
        }
        long millis = System.currentTimeMillis();
        String load = "x0=" + millis / 1_000 + ",x1=" + (primary ? 1 : 0) + ",inflight=1";
        boolean probe = written.length < MAX_PROBE_BYTES;
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

    /** A client in memory that sends its next query after each write of the router. */
    private static final class InMemoryClient implements ClientChannel {
        private final UnaryOperator<byte[]> answer;
        private ByteBuffer next;

        InMemoryClient(byte[] first, UnaryOperator<byte[]> answer) {
            this.next = ByteBuffer.wrap(first);
            this.answer = answer;
        }

        synchronized void await() {
            try {
                if (next != null && !next.hasRemaining()) {
                    wait(MAX_DURATION_MILLIS);
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
            byte[] response = next == null ? null : answer.apply(written);
            next = response == null ? null : ByteBuffer.wrap(response);
            notifyAll();
            return written.length;
        }

        @Override
        public void reset() {
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
