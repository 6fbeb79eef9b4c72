package beaconladder.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import beaconladder.discovery.HttpFetcher;
import beaconladder.storage.DurableRecords;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against builds that can't read stored states of earlier builds. The present program opens folders that a
 * router and a relay wrote at commit 88160da, by {@link #main}, and continues from them. The files under
 * {@code stored/} must not be regenerated to make a test pass: a program that can't read them can't read those of
 * installations either.
 */
@Timeout(60)
class StoredFeedTest {
    private static final Path STORED = Path.of("src/test/resources/stored");
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final List<Proposal> PROPOSALS = List.of(
            new Proposal(0, Map.of("settings", "limit=10", "plan.eu", "pool=a"), List.of()),
            new Proposal(1, Map.of("plan.us", "pool=\"b\"\nname=\u00fc"), List.of()),
            new Proposal(2, Map.of("settings", "limit=20"), List.of("plan.eu")));
    private static final String DIGEST = "9db56fef61168c4d2809c102598aca2e";
    private static final String STATE = "{\"version\":3,\"entries\":{"
            + "\"plan.us\":\"pool=\\\"b\\\"\\nname=\u00fc\","
            + "\"settings\":\"limit=20\"},\"digest\":\"" + DIGEST + "\"}";
    private static final String NEXT_DIGEST = "1bd6deea98cc99ae711e3b050a187a9e";
    private static final String NEXT_STATE = "{\"version\":4,\"entries\":{\"plan.us\":\"pool=c\","
            + "\"settings\":\"limit=20\"},\"digest\":\"" + NEXT_DIGEST + "\"}";

    @TempDir
    private Path temp;

    private Path copy(String name) throws IOException {
        Path folder = Files.createDirectories(temp.resolve(name));
        Files.copy(STORED.resolve(name).resolve("records.mv"), folder.resolve("records.mv"));
        return folder;
    }

    private static String record(Path folder) throws IOException {
        try (DurableRecords records = DurableRecords.open(folder)) {
            assertThat(records.recovered()).hasSize(1);
            return new String(records.recovered().get(0), StandardCharsets.UTF_8);
        }
    }

    /** Creates a log that reached the version of the fixtures by the same proposals. */
    private static InMemoryLog log() throws IOException {
        InMemoryLog log = new InMemoryLog();
        PROPOSALS.forEach(log::commit);
        return log;
    }

    private static String get(InetSocketAddress address, String path) throws IOException {
        HttpFetcher http = new HttpFetcher(address);
        try {
            return http.get(path, 5_000);
        } finally {
            http.close();
        }
    }

    private static void run(Subscriber subscriber) {
        Thread thread = new Thread(subscriber, "subscriber");
        thread.setDaemon(true);
        thread.start();
    }

    @Test
    void theStoredRecordsAreTheseTexts() throws IOException {
        assertThat(record(copy("feed-router"))).isEqualTo("{\"state\":" + STATE + ",\"heard\":1796225597712}");
        assertThat(record(copy("feed-relay"))).isEqualTo("{\"state\":" + STATE + ",\"heard\":1796225597707}");
    }

    @Test
    void aStoreReadsTheStoredStateAndReplacesIt() throws IOException {
        Path folder = copy("feed-router");
        try (StateStore store = new StateStore(folder)) {
            VersionedState state = store.stored().state();
            assertThat(state.version()).isEqualTo(3);
            assertThat(state.entries())
                    .containsExactly(
                            Map.entry("plan.us", "pool=\"b\"\nname=\u00fc"), Map.entry("settings", "limit=20"));
            assertThat(state.digest()).isEqualTo(DIGEST).isEqualTo(state.computeDigest());
            assertThat(store.stored().confirmedAtMillis()).isEqualTo(1796225597712L);
            store.save(state.apply(new Proposal(3, Map.of("plan.us", "pool=c"), List.of())), 99);
        }
        assertThat(record(folder)).isEqualTo("{\"state\":" + NEXT_STATE + ",\"heard\":99}");
    }

    @Test
    void aRouterWithoutARelayAppliesTheStoredState() throws Exception {
        InetSocketAddress unreachable;
        try (ServerSocket closedSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unreachable = (InetSocketAddress) closedSocket.getLocalSocketAddress();
        }
        RecordingApplier applier = new RecordingApplier();
        try (Subscriber router = new Subscriber("n", 2, Map.of("a", unreachable), copy("feed-router"), applier)) {
            run(router);
            await().atMost(TIMEOUT).until(() -> router.appliedVersion() == 3);
        }
        assertThat(FeedJson.text(applier.last())).isEqualTo(STATE);
    }

    @Test
    void aRouterContinuesFromTheStoredStateAndStoresTheNext() throws Exception {
        Path folder = copy("feed-router");
        RecordingApplier applier = new RecordingApplier();
        try (InMemoryLog log = log();
                Relay relay = new Relay("a", ANY_PORT, List.of(log.address()), null, 10);
                Subscriber router = new Subscriber("n", 2, Map.of("a", relay.address()), folder, applier)) {
            assertThat(FeedJson.text(router.storedState())).isEqualTo(STATE);
            run(router);
            await().atMost(TIMEOUT).until(() -> router.appliedVersion() == 3);
            log.set("plan.us", "pool=c");
            await().atMost(TIMEOUT).until(() -> router.appliedVersion() == 4);
        }
        assertThat(FeedJson.text(applier.last())).isEqualTo(NEXT_STATE);
        await().atMost(TIMEOUT)
                .ignoreExceptions()
                .untilAsserted(() -> assertThat(record(folder)).startsWith("{\"state\":" + NEXT_STATE + ",\"heard\":"));
    }

    @Test
    void aRelayServesTheStoredStateAndStoresTheNext() throws Exception {
        Path folder = copy("feed-relay");
        String poll = "/v1/feed?since=0&wait=0&name=n&life=1&force=0&refused=0";
        try (InMemoryLog log = log()) {
            log.setLeader(false);
            try (Relay relay = new Relay("a", ANY_PORT, List.of(log.address()), folder, 10)) {
                assertThat(get(relay.address(), poll))
                        .isEqualTo("{\"version\":3,\"digest\":\"" + DIGEST + "\",\"lagMillis\":1000000000000,\"base\":"
                                + STATE + ",\"changes\":[]}");
                log.setLeader(true);
                log.set("plan.us", "pool=c");
                await().atMost(TIMEOUT)
                        .untilAsserted(
                                () -> assertThat(get(relay.address(), poll)).contains("\"base\":" + NEXT_STATE));
            }
        }
        await().atMost(TIMEOUT)
                .ignoreExceptions()
                .untilAsserted(() -> assertThat(record(folder)).startsWith("{\"state\":" + NEXT_STATE + ",\"heard\":"));
    }

    /**
     * Writes the fixtures: a log, a relay and a router with their own folders go through three versions. Not a test;
     * run manually with the folder in which to create {@code feed-router} and {@code feed-relay}.
     */
    public static void main(String[] args) throws Exception {
        Path into = Path.of(args[0]);
        try (InMemoryLog log = new InMemoryLog();
                Relay relay = new Relay("a", ANY_PORT, List.of(log.address()), into.resolve("feed-relay"), 10);
                Subscriber router = new Subscriber(
                        "n", 1, Map.of("a", relay.address()), into.resolve("feed-router"), new RecordingApplier())) {
            run(router);
            for (Proposal proposal : PROPOSALS) {
                log.commit(proposal);
                await().atMost(TIMEOUT).until(() -> router.appliedVersion() == proposal.baseVersion() + 1);
            }
        }
        for (String name : List.of("feed-router", "feed-relay")) {
            await().atMost(TIMEOUT)
                    .ignoreExceptions()
                    .until(() -> !record(into.resolve(name)).isEmpty());
        }
    }
}
