package beaconladder.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import beaconladder.discovery.HttpFetcher;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A log, relays and subscribers in one process, connected by real sockets. */
@Timeout(60)
class SubscriberTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final List<AutoCloseable> closeables = new ArrayList<>();
    private final Map<String, InetSocketAddress> relays = new TreeMap<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : closeables) {
            each.close();
        }
    }

    private <T extends AutoCloseable> T closeLater(T each) {
        closeables.add(0, each);
        return each;
    }

    private InMemoryLog log() throws IOException {
        return closeLater(new InMemoryLog());
    }

    private Relay relay(String name, InMemoryLog log, Path store) throws IOException {
        Relay relay = closeLater(new Relay(name, ANY_PORT, List.of(log.address()), store, 100));
        relays.put(name, relay.address());
        return relay;
    }

    private Subscriber subscriber(String name, long incarnation, Path store, Applier applier) throws IOException {
        Subscriber subscriber = closeLater(new Subscriber(name, incarnation, relays, store, applier));
        Thread thread = new Thread(subscriber, name);
        thread.setDaemon(true);
        thread.start();
        return subscriber;
    }

    @Test
    void aCommittedVersionIsAppliedOrRejectedAndAcknowledged() throws Exception {
        InMemoryLog log = log();
        relay("a", log, null);
        relay("b", log, null);
        RecordingApplier applier = new RecordingApplier();
        Subscriber subscriber = subscriber("n", 1, null, applier);
        VersionedState one = log.set("x", "1");
        await().atMost(TIMEOUT).until(() -> one.equals(applier.last()));
        VersionedState two = log.set("x", "2");
        await().atMost(TIMEOUT).until(() -> two.equals(applier.last()));
        assertThat(subscriber.ageMillis()).isLessThan(10_000);
        LogClient proposer = new LogClient(List.of(log.address()), 2_000);
        await().atMost(TIMEOUT).until(() -> proposer.status().counts().equals(List.of(new RelayReport.Count(2, 1, 0))));
        assertThat(proposer.status().relays()).hasSize(2);
        // The previous version remains applied until a valid one follows.
        log.set("bad", "1");
        await().atMost(TIMEOUT)
                .until(() -> proposer.status()
                        .counts()
                        .equals(List.of(new RelayReport.Count(3, 0, 1), new RelayReport.Count(2, 1, 0))));
        assertThat(subscriber.appliedVersion()).isEqualTo(2);
        CommitResult four = proposer.propose(new Proposal(3, Map.of(), List.of("bad")));
        await().atMost(TIMEOUT).until(() -> applier.last().version() == four.version());
        assertThat(applier.applied())
                .extracting(VersionedState::version)
                .endsWith(2L, 4L)
                .doesNotContain(3L);
    }

    @Test
    void failsOverFromAStaleRelay() throws Exception {
        InMemoryLog log = log();
        InMemoryLog disconnectedLog = log();
        String first = Rendezvous.preferenceOrder("n", List.of("a", "b")).get(0);
        relay(first, disconnectedLog, null);
        relay(first.equals("a") ? "b" : "a", log, null);
        disconnectedLog.publish(log.history());
        RecordingApplier applier = new RecordingApplier();
        subscriber("n", 1, null, applier);
        disconnectedLog.set("x", "1");
        VersionedState one = log.set("x", "1");
        await().atMost(TIMEOUT).until(() -> one.equals(applier.last()));
        disconnectedLog.setLeader(false);
        VersionedState two = log.set("x", "2");
        await().atMost(TIMEOUT).until(() -> two.equals(applier.last()));
    }

    @Test
    void withoutARelayTheStoredStateIsAppliedAndItsAgeIsKnown(@TempDir Path folder) throws Exception {
        InMemoryLog log = log();
        Relay relay = relay("a", log, null);
        RecordingApplier before = new RecordingApplier();
        Subscriber first = subscriber("n", 1, folder, before);
        VersionedState one = log.set("x", "1");
        await().atMost(TIMEOUT).until(() -> one.equals(before.last()));
        first.close();
        relay.close();
        Thread.sleep(1_200);
        RecordingApplier after = new RecordingApplier();
        Subscriber second =
                await().atMost(TIMEOUT).ignoreExceptions().until(() -> subscriber("n", 2, folder, after), each -> true);
        await().atMost(TIMEOUT).until(() -> one.equals(after.last()));
        assertThat(second.ageMillis()).isBetween(1_000L, 60_000L);
        assertThat(second.appliedVersion()).isEqualTo(1);
    }

    @Test
    void aRelayWithAnOldStoredStateDoesNotRevertRouters(@TempDir Path folder) throws Exception {
        InMemoryLog log = log();
        String first = Rendezvous.preferenceOrder("n", List.of("a", "b")).get(0);
        Relay old = relay(first, log, folder.resolve("now"));
        VersionedState one = log.set("x", "1");
        await().atMost(TIMEOUT).until(() -> Files.exists(folder.resolve("now")) && version(old) == 1);
        old.close();
        relays.clear();
        InMemoryLog unavailable = log();
        unavailable.setLeader(false);
        await().atMost(TIMEOUT)
                .ignoreExceptions()
                .until(() -> relay(first, unavailable, folder.resolve("now")), each -> true);
        relay(first.equals("a") ? "b" : "a", log, null);
        VersionedState two = log.set("x", "2");
        RecordingApplier applier = new RecordingApplier();
        subscriber("n", 1, null, applier);
        await().atMost(TIMEOUT).until(() -> two.equals(applier.last()));
        // The first poll may have returned the version of the old relay, which must not follow the newer one.
        Thread.sleep(1_500);
        assertThat(applier.applied()).isSubsetOf(one, two).endsWith(two);
    }

    private static long version(Relay relay) throws IOException {
        return status(relay).version();
    }

    private static Relay.Status status(Relay relay) throws IOException {
        HttpFetcher http = new HttpFetcher(relay.address());
        try {
            return FeedJson.read(http.get("/v1/relay", 1_000), Relay.Status.class);
        } finally {
            http.close();
        }
    }

    @Test
    void otherContentsUnderTheSameVersionAreNotApplied() throws Exception {
        InMemoryLog log = log();
        InMemoryLog other = log();
        relay("a", log, null);
        RecordingApplier applier = new RecordingApplier();
        subscriber("n", 1, null, applier);
        VersionedState one = log.set("x", "1");
        await().atMost(TIMEOUT).until(() -> one.equals(applier.last()));
        other.set("x", "other");
        log.publish(other.history());
        Thread.sleep(1_500);
        assertThat(applier.last()).isEqualTo(one);
    }

    @Test
    void aRelayThatIsSlowFromLoadIsWaitedForInTheEnd() throws Exception {
        InMemoryLog log = log();
        VersionedState one = log.set("x", "1");
        HttpServer slow = HttpServer.create(ANY_PORT, 10);
        slow.createContext("/v1/feed", exchange -> {
            byte[] body = FeedJson.text(log.history().updateSince(0, true)).getBytes(StandardCharsets.UTF_8);
            try (exchange) {
                TimeUnit.MILLISECONDS.sleep(1_200);
                exchange.sendResponseHeaders(200, body.length);
                exchange.getResponseBody().write(body);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        slow.start();
        closeLater(() -> slow.stop(0));
        relays.put("a", slow.getAddress());
        RecordingApplier applier = new RecordingApplier();
        subscriber("n", 1, null, applier);
        await().atMost(TIMEOUT).until(() -> one.equals(applier.last()));
    }

    @Test
    void aRelayRejectsConnectionsBeyondTheBound() throws Exception {
        Relay relay = closeLater(new Relay("a", ANY_PORT, List.of(log().address()), null, 2));
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            sockets.add(closeLater(
                    new Socket(relay.address().getAddress(), relay.address().getPort())));
        }
        Socket third = sockets.get(2);
        third.setSoTimeout(5_000);
        assertThat(third.getInputStream().read()).isEqualTo(-1);
        sockets.get(0).setSoTimeout(300);
        assertThatThrownBy(() -> sockets.get(0).getInputStream().read())
                .isInstanceOf(java.net.SocketTimeoutException.class);
    }

    @Test
    void aRouterThatDoesNotReadIsDisconnectedAndNoResponseIsQueued() throws Exception {
        InMemoryLog log = log();
        log.set("x", "x".repeat(VersionedState.MAX_CHARACTERS / 2));
        Relay relay = closeLater(new Relay("a", ANY_PORT, List.of(log.address()), null, 10));
        await().atMost(TIMEOUT).until(() -> version(relay) == 1);
        Socket slow = closeLater(new Socket());
        slow.setReceiveBufferSize(16 * 1024);
        slow.connect(relay.address());
        byte[] poll = ("GET /v1/feed?since=0&wait=0&name=n&life=1&force=0&refused=0 HTTP/1.1\r\n" + "Host: a\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < 100; i++) {
            slow.getOutputStream().write(poll);
        }
        // Only the connection of the status request remains.
        await().atMost(TIMEOUT).until(() -> status(relay).connections() == 1);
        assertThat(status(relay).bytesOut()).isLessThan(50L * VersionedState.MAX_CHARACTERS / 2);
    }

    @Test
    void anInvalidPollIsAnsweredWithAnErrorAndTheConnectionIsClosed() throws Exception {
        Relay relay = closeLater(new Relay("a", ANY_PORT, List.of(log().address()), null, 10));
        for (String invalid : List.of(
                "/v1/feed",
                "/v1/feed?since=1",
                "/v1/feed?since=-1&wait=0&name=n&life=1" + "&force=0&refused=0",
                "/v1/feed?since=0&wait=99999999&name=n&life=1&force=0&refused=0",
                "/v1/feed?since=0&wait=0&name=a%2Fb&life=1&force=0&refused=0",
                "/v1/feed?since=0&since=0",
                "/v1/other")) {
            HttpFetcher http = new HttpFetcher(relay.address(), true);
            assertThat(http.get(invalid, 2_000)).as(invalid).contains("error");
            http.close();
        }
    }
}
