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

/** What becomes of a once-only write whose exchange with its host ends in a way that nobody foresaw. */
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
    private static final int USES = 5;
    private static final int BUDGET_MILLIS = 2_000;
    /** The protocol's slack, the hold-up that it allows for, and what a part of a core takes besides. */
    private static final int SLACK_MILLIS = 150;

    private static final int HOLD_UP_MILLIS = 150;
    private static final int REST_OF_THE_WAY_MILLIS = 30;
    private static final int LOCK_MILLIS = 400;
    private static final String WRITE = "INSERT INTO items (id, doc) VALUES ('k', '\\x00') RETURNING doc "
            + "/* id=w1,c=write,t=acme,d=2000,cluster=1 */";

    private final AtomicInteger written = new AtomicInteger();
    private final RequestDispatcher desk = new RequestDispatcher(1, SETTINGS, null);
    private volatile long expiry;

    /** Sends a write by connections of this kind until it has its final answer. */
    private InFlightRequest.Command finalAnswer(ServerConnectionPool.Opener opener) throws Exception {
        ServerConnectionPool lines = new ServerConnectionPool(
                desk, SETTINGS, new ThreadLimit(192), new MemoryLimit(1 << 20), new DescriptorLimit(128), opener);
        desk.setHostActions(lines);
        desk.onEndpoints(true, List.of(entry(new InetSocketAddress("127.0.0.1", 1))));
        Thread timer = new Thread(desk.timer());
        timer.setDaemon(true);
        timer.start();
        long now = desk.nowNanos();
        expiry = now + BUDGET_MILLIS * 1_000_000L;
        Statement statement = Statement.parse(WRITE);
        InFlightRequest hand = desk.submit(
                new RequestParameters("w1", 0, desk.group(1), statement, HostReport.NO_POSITION, now, expiry, null));
        for (InFlightRequest.Command command = hand.awaitCommand(); ; command = hand.awaitCommand()) {
            if (command.kind() != InFlightRequest.Kind.SEND) {
                desk.stop();
                return command;
            }
            lines.send(command, statement);
        }
    }

    @Test
    void whatFailsInAnUnforeseenWayBehindTheQueryMayHaveRun() throws Exception {
        InFlightRequest.Command answer = finalAnswer((address, room) -> new ServerConnection(
                address,
                room,
                new FaultySocket(new IllegalStateException("a fault of our own while the answer is read"), written)));
        assertThat(written.get()).as("queries written to a host").isEqualTo(1);
        assertThat(answer.kind()).isEqualTo(InFlightRequest.Kind.ROLLED_BACK);
    }

    @Test
    void norIsItSentAgainWhereMemoryRanOut() throws Exception {
        InFlightRequest.Command answer = finalAnswer((address, room) -> new ServerConnection(
                address,
                room,
                new FaultySocket(new Error("as where memory runs out while the answer is read"), written)));
        assertThat(written.get()).as("queries written to a host").isEqualTo(1);
        assertThat(answer.kind()).isEqualTo(InFlightRequest.Kind.ROLLED_BACK);
    }

    /**
     * Seen under stops of the process: with 10 ms kept back, a hold-up of the 150 ms that are allowed for and 30 ms for
     * the rest of the way told a host of more time than the client still had, and the slack.
     */
    @Test
    void theTimeThatAHostIsToldHoldsWhereTheWriteIsHeldUp() throws Exception {
        List<Long> excess = new ArrayList<>();
        InFlightRequest.Command answer = finalAnswer((address, room) ->
                new ServerConnection(address, room, new InMemorySocket(new byte[0], query -> {
                    if (query[0] == 'Q') {
                        sleep(HOLD_UP_MILLIS + REST_OF_THE_WAY_MILLIS);
                        String text = new String(query, 5, query.length - 6, StandardCharsets.UTF_8);
                        long told = Long.parseLong(Statement.parse(text).parameter("d"));
                        excess.add(told - (expiry - desk.nowNanos()) / 1_000_000);
                    }
                    return answer(query, new InetSocketAddress("127.0.0.1", 1));
                })));
        assertThat(answer.kind()).isEqualTo(InFlightRequest.Kind.COMMITTED);
        assertThat(excess).singleElement().satisfies(ms -> assertThat(ms).isLessThanOrEqualTo(SLACK_MILLIS));
    }

    /** The check of a send takes the lock of the decisions; what it waits for that is no part of the send. */
    @Test
    void aSendThatWaitsForTheLockToBeCheckedIsNotHeldAgainstItself() throws Exception {
        InFlightRequest.Command answer = finalAnswer((address, room) ->
                new ServerConnection(address, room, new InMemorySocket(new byte[0], query -> {
                    if (query[0] == 'Q') {
                        holdLock(LOCK_MILLIS);
                    }
                    return answer(query, new InetSocketAddress("127.0.0.1", 1));
                })));
        assertThat(answer.kind()).isEqualTo(InFlightRequest.Kind.COMMITTED);
        assertThat(desk.monitor().invariants().violations().total()).isZero();
    }

    /** Another thread takes the lock of the decisions now, and keeps it for so long. */
    private void holdLock(long millis) {
        CountDownLatch held = new CountDownLatch(1);
        Thread holder = new Thread(() -> desk.applyEvent(now -> {
            held.countDown();
            sleep(millis);
        }));
        holder.setDaemon(true);
        holder.start();
        try {
            held.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Read in the same paths: a connection found dead, and then none to be had in its place. */
    @Test
    void aConnectionThatIsOfNoUseGivesItsDescriptorBackOnce() throws Exception {
        DescriptorLimit descriptors = new DescriptorLimit(128);
        InetSocketAddress moved = new InetSocketAddress("127.0.0.1", 2);
        ServerConnectionPool lines = new ServerConnectionPool(
                desk, SETTINGS, new ThreadLimit(192), new MemoryLimit(1 << 20), descriptors, (address, room) -> {
                    if (address.equals(moved)) {
                        throw new IOException("no buffer space available");
                    }
                    return new ServerConnection(
                            address, room, new InMemorySocket(new byte[0], query -> answer(query, moved)));
                });
        desk.setHostActions(lines);
        desk.onEndpoints(true, List.of(entry(new InetSocketAddress("127.0.0.1", 1))));
        Statement statement = Statement.parse(WRITE);
        // Connections to a host that was used less are not kept.
        for (int i = 0; i <= USES; i++) {
            InFlightRequest hand = desk.submit(new RequestParameters(
                    "w" + i,
                    0,
                    desk.group(1),
                    statement,
                    HostReport.NO_POSITION,
                    desk.nowNanos(),
                    desk.nowNanos() + 100_000_000,
                    null));
            lines.send(hand.awaitCommand(), statement);
            // An idle connection is used again once it has rested.
            Thread.sleep(10);
            desk.abandon(hand);
        }
        assertThat(descriptors.held(DescriptorLimit.Use.SERVER)).isZero();
    }

    /**
     * While it answers for the last time, its host moves: the connection goes back to those that wait, of no use any
     * more.
     */
    private byte[] answer(byte[] query, InetSocketAddress moved) {
        MessageWriter out = new MessageWriter();
        if (query[0] == 'Q') {
            if (written.incrementAndGet() == USES) {
                desk.onEndpoints(false, List.of(entry(moved)));
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
