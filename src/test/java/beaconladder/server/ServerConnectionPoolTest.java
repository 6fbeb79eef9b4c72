package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.discovery.EndpointWatch;
import beaconladder.pg.MemoryLimit;
import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;
import beaconladder.routing.api.Router.HostReport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Unexpected faults and delays in an exchange with a host: a write must not run twice, nor a descriptor leak. */
@Timeout(20)
class ServerConnectionPoolTest {
    private static final Map<String, String> SETTINGS = new LinkedHashMap<>(Map.of(
            "request_classes.count",
            "1",
            "request_classes.0.name",
            "write",
            "request_classes.0.effect",
            "side_effect",
            "request_classes.0.give_up_us",
            "2000000",
            "family_info.freshness",
            "update",
            "limits.max_attempts",
            "6",
            "limits.probes",
            "false",
            "limits.cancel",
            "true",
            "zones",
            "east",
            "limits.conn_idle_us",
            "15000000"));
    private static final int REQUESTS_BEFORE_MOVE = 5;
    private static final int BUDGET_MILLIS = 2_000;
    /** By how much the time budget stated to a host may exceed the client's remaining time, by the protocol. */
    private static final int BUDGET_TOLERANCE_MILLIS = 150;
    /** A pause of the process between stating the time budget and the end of the write, as long as that tolerance. */
    private static final int PROCESS_PAUSE_MILLIS = 150;
    /** The further delay of a write on a shared CPU core. */
    private static final int WRITE_DELAY_MILLIS = 30;

    private static final int LOCK_HOLD_MILLIS = 400;
    private static final String WRITE = "INSERT INTO items (id, doc) VALUES ('k', '\\x00') RETURNING doc "
            + "/* id=w1,c=write,t=acme,d=2000,cluster=1 */";

    private final AtomicInteger writtenQueries = new AtomicInteger();
    private final RequestDispatcher dispatcher = new RequestDispatcher(1, SETTINGS, null);
    private volatile long expiryNanos;

    /** Submits a write and runs its attempts on connections of this factory; returns the final command. */
    private InFlightRequest.Command finalCommand(ServerConnectionPool.ConnectionFactory connectionFactory)
            throws Exception {
        ServerConnectionPool pool = new ServerConnectionPool(
                dispatcher,
                SETTINGS,
                new ThreadLimit(192),
                new MemoryLimit(1 << 20),
                new DescriptorLimit(128),
                connectionFactory);
        dispatcher.setHostActions(pool);
        dispatcher.onEndpoints(true, List.of(entry(new InetSocketAddress("127.0.0.1", 1))));
        Thread timer = new Thread(dispatcher.timer());
        timer.setDaemon(true);
        timer.start();
        long now = dispatcher.nowNanos();
        expiryNanos = now + BUDGET_MILLIS * 1_000_000L;
        Statement statement = Statement.parse(WRITE);
        InFlightRequest inFlight = dispatcher.submit(new RequestParameters(
                "w1", 0, dispatcher.group(1), statement, HostReport.NO_POSITION, now, expiryNanos, null));
        for (InFlightRequest.Command command = inFlight.awaitCommand(); ; command = inFlight.awaitCommand()) {
            if (command.kind() != InFlightRequest.Kind.SEND) {
                dispatcher.stop();
                return command;
            }
            pool.send(command, statement);
        }
    }

    @Test
    void aWriteIsNotSentAgainAfterAnExceptionWhileItsResponseIsRead() throws Exception {
        InFlightRequest.Command finalCommand = finalCommand((address, memory) -> new ServerConnection(
                address,
                memory,
                new FaultySocket(
                        new IllegalStateException("internal error while the response is read"), writtenQueries)));
        assertThat(writtenQueries.get()).as("queries written to a host").isEqualTo(1);
        assertThat(finalCommand.kind()).isEqualTo(InFlightRequest.Kind.ROLLED_BACK);
    }

    @Test
    void aWriteIsNotSentAgainAfterAnErrorWhileItsResponseIsRead() throws Exception {
        InFlightRequest.Command finalCommand = finalCommand((address, memory) -> new ServerConnection(
                address,
                memory,
                new FaultySocket(
                        new Error("in place of an OutOfMemoryError while the response is read"), writtenQueries)));
        assertThat(writtenQueries.get()).as("queries written to a host").isEqualTo(1);
        assertThat(finalCommand.kind()).isEqualTo(InFlightRequest.Kind.ROLLED_BACK);
    }

    /**
     * The router states less than the remaining time to a host, to allow for delays of the write. With a reserve of
     * only 10 ms, a pause of the process of 150 ms and a further delay of 30 ms made the stated time budget exceed the
     * client's remaining time by more than the tolerance. By how much the test sleeps longer than that does not count.
     */
    @Test
    void theTimeBudgetStatedToAHostIsWithinTheToleranceWhenTheWriteIsDelayed() throws Exception {
        new ServerConnectionPoolTest().warmUp();
        List<Long> excessMillis = new ArrayList<>();
        InFlightRequest.Command finalCommand = finalCommand((address, memory) ->
                new ServerConnection(address, memory, new InMemorySocket(new byte[0], query -> {
                    if (query[0] == 'Q') {
                        long oversleptMillis = sleepAndMeasureExcess(PROCESS_PAUSE_MILLIS + WRITE_DELAY_MILLIS);
                        String text = new String(query, 5, query.length - 6, StandardCharsets.UTF_8);
                        long statedMillis = Long.parseLong(Statement.parse(text).parameter("d"));
                        long leftMillis = (expiryNanos - dispatcher.nowNanos()) / 1_000_000;
                        excessMillis.add(statedMillis - leftMillis - oversleptMillis);
                    }
                    return respond(query, new InetSocketAddress("127.0.0.1", 1));
                })));
        assertThat(finalCommand.kind()).isEqualTo(InFlightRequest.Kind.COMMITTED);
        assertThat(excessMillis)
                .singleElement()
                .satisfies(ms -> assertThat(ms).isLessThanOrEqualTo(BUDGET_TOLERANCE_MILLIS));
    }

    /** The check of a sent attempt takes the dispatcher's lock; the wait for it must not count as part of the write. */
    @Test
    void waitingForTheLockToCheckASentAttemptViolatesNoInvariant() throws Exception {
        InFlightRequest.Command finalCommand = finalCommand((address, memory) ->
                new ServerConnection(address, memory, new InMemorySocket(new byte[0], query -> {
                    if (query[0] == 'Q') {
                        holdLock(LOCK_HOLD_MILLIS);
                    }
                    return respond(query, new InetSocketAddress("127.0.0.1", 1));
                })));
        assertThat(finalCommand.kind()).isEqualTo(InFlightRequest.Kind.COMMITTED);
        assertThat(dispatcher.monitor().invariants().violations().total()).isZero();
    }

    /** Makes another thread take the dispatcher's lock and hold it for this long; returns once it is taken. */
    private void holdLock(long millis) {
        CountDownLatch held = new CountDownLatch(1);
        Thread holder = new Thread(() -> dispatcher.applyEvent(now -> {
            held.countDown();
            sleepAndMeasureExcess(millis);
        }));
        holder.setDaemon(true);
        holder.start();
        try {
            held.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a write, as the router does before it listens: classes that are loaded late delay the first one. */
    private void warmUp() throws Exception {
        finalCommand((address, memory) ->
                new ServerConnection(address, memory, new InMemorySocket(new byte[0], q -> respond(q, address))));
    }

    private static long sleepAndMeasureExcess(long millis) {
        long startNanos = System.nanoTime();
        try {
            Thread.sleep(millis);
            return Math.max(0, (System.nanoTime() - startNanos) / 1_000_000 - millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** An idle connection can't be reused and opening another one fails: its descriptor is released exactly once. */
    @Test
    void anUnusableConnectionReleasesItsDescriptorOnce() throws Exception {
        DescriptorLimit descriptors = new DescriptorLimit(128);
        InetSocketAddress newAddress = new InetSocketAddress("127.0.0.1", 2);
        ServerConnectionPool pool = new ServerConnectionPool(
                dispatcher,
                SETTINGS,
                new ThreadLimit(192),
                new MemoryLimit(1 << 20),
                descriptors,
                (address, memory) -> {
                    if (address.equals(newAddress)) {
                        throw new IOException("no buffer space available");
                    }
                    return new ServerConnection(
                            address, memory, new InMemorySocket(new byte[0], query -> respond(query, newAddress)));
                });
        dispatcher.setHostActions(pool);
        dispatcher.onEndpoints(true, List.of(entry(new InetSocketAddress("127.0.0.1", 1))));
        Statement statement = Statement.parse(WRITE);
        // The policy closes the idle connections of a host with fewer than three recent responses.
        for (int i = 0; i <= REQUESTS_BEFORE_MOVE; i++) {
            InFlightRequest inFlight = dispatcher.submit(new RequestParameters(
                    "w" + i,
                    0,
                    dispatcher.group(1),
                    statement,
                    HostReport.NO_POSITION,
                    dispatcher.nowNanos(),
                    dispatcher.nowNanos() + 100_000_000,
                    null));
            pool.send(inFlight.awaitCommand(), statement);
            // A connection is reused only after it has been idle for some milliseconds.
            Thread.sleep(10);
            dispatcher.abandon(inFlight);
        }
        assertThat(descriptors.held(DescriptorLimit.Use.SERVER)).isZero();
    }

    /**
     * Returns the host's response to a message. During the last response the host gets a new address, so that the
     * connection becomes idle but can't be reused.
     */
    private byte[] respond(byte[] query, InetSocketAddress newAddress) {
        MessageWriter out = new MessageWriter();
        if (query[0] == 'Q') {
            if (writtenQueries.incrementAndGet() == REQUESTS_BEFORE_MOVE) {
                dispatcher.onEndpoints(false, List.of(entry(newAddress)));
            }
            out.singleColumnResult("doc", new byte[] {1})
                    .commandComplete("INSERT 0 1")
                    .readyForQuery();
        } else {
            out.authenticationOk().readyForQuery();
        }
        byte[] bytes = new byte[out.size()];
        out.asByteBuffer().get(bytes);
        return bytes;
    }

    private static EndpointWatch.Entry entry(InetSocketAddress address) {
        return new EndpointWatch.Entry("a", address, "east", 1, EndpointWatch.State.READY, true, 0);
    }
}
