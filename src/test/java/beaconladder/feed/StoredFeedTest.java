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
 * Folders that a router and a relay wrote at commit 88160da are opened by the present program, which goes on from them.
 * The files under {@code stored/} are never written anew to get a pass: a program that does not read them does not read
 * what installations have on their disks either. {@link #main} wrote them.
 */
@Timeout(60)
class StoredFeedTest {
    private static final Path STORED = Path.of("src/test/resources/stored");
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final List<Proposal> WRITTEN = List.of(
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

    /** A log that has come to the version in the fixtures by the same proposals. */
    private static InMemoryLog log() throws IOException {
        InMemoryLog log = new InMemoryLog();
        WRITTEN.forEach(log::commit);
        return log;
    }

    private static String get(InetSocketAddress at, String path) throws IOException {
        HttpFetcher http = new HttpFetcher(at);
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
            store.save(state.after(new Proposal(3, Map.of("plan.us", "pool=c"), List.of())), 99);
        }
        assertThat(record(folder)).isEqualTo("{\"state\":" + NEXT_STATE + ",\"heard\":99}");
    }

    @Test
    void aRouterWithoutARelayAppliesTheStoredState() throws Exception {
        InetSocketAddress nobody;
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = (InetSocketAddress) taken.getLocalSocketAddress();
        }
        RecordingApplier applier = new RecordingApplier();
        try (Subscriber router = new Subscriber("n", 2, Map.of("a", nobody), copy("feed-router"), applier)) {
            run(router);
            await().atMost(LONG).until(() -> router.appliedVersion() == 3);
        }
        assertThat(FeedJson.text(applier.last())).isEqualTo(STATE);
    }

    @Test
    void aRouterContinuesFromTheStoredStateAndStoresTheNext() throws Exception {
        Path folder = copy("feed-router");
        RecordingApplier applier = new RecordingApplier();
        try (InMemoryLog log = log();
                Relay relay = new Relay("a", ANY, List.of(log.at()), null, 10);
                Subscriber router = new Subscriber("n", 2, Map.of("a", relay.address()), folder, applier)) {
            assertThat(FeedJson.text(router.storedState())).isEqualTo(STATE);
            run(router);
            await().atMost(LONG).until(() -> router.appliedVersion() == 3);
            log.set("plan.us", "pool=c");
            await().atMost(LONG).until(() -> router.appliedVersion() == 4);
        }
        assertThat(FeedJson.text(applier.last())).isEqualTo(NEXT_STATE);
        await().atMost(LONG)
                .ignoreExceptions()
                .untilAsserted(() -> assertThat(record(folder)).startsWith("{\"state\":" + NEXT_STATE + ",\"heard\":"));
    }

    @Test
    void aRelayServesTheStoredStateAndStoresTheNext() throws Exception {
        Path folder = copy("feed-relay");
        String poll = "/v1/feed?since=0&wait=0&name=n&life=1&force=0&refused=0";
        try (InMemoryLog log = log()) {
            log.setLeader(false);
            try (Relay relay = new Relay("a", ANY, List.of(log.at()), folder, 10)) {
                assertThat(get(relay.address(), poll))
                        .isEqualTo("{\"version\":3,\"digest\":\"" + DIGEST + "\",\"lagMillis\":1000000000000,\"base\":"
                                + STATE + ",\"changes\":[]}");
                log.setLeader(true);
                log.set("plan.us", "pool=c");
                await().atMost(LONG)
                        .untilAsserted(
                                () -> assertThat(get(relay.address(), poll)).contains("\"base\":" + NEXT_STATE));
            }
        }
        await().atMost(LONG)
                .ignoreExceptions()
                .untilAsserted(() -> assertThat(record(folder)).startsWith("{\"state\":" + NEXT_STATE + ",\"heard\":"));
    }

    /**
     * Wrote the fixtures: a log, a relay and a router with folders of their own go through three versions. Not a test;
     * run by hand with the folder that {@code feed-router} and {@code feed-relay} are to be made in.
     */
    public static void main(String[] args) throws Exception {
        Path into = Path.of(args[0]);
        try (InMemoryLog log = new InMemoryLog();
                Relay relay = new Relay("a", ANY, List.of(log.at()), into.resolve("feed-relay"), 10);
                Subscriber router = new Subscriber(
                        "n", 1, Map.of("a", relay.address()), into.resolve("feed-router"), new RecordingApplier())) {
            run(router);
            for (Proposal each : WRITTEN) {
                log.commit(each);
                await().atMost(LONG).until(() -> router.appliedVersion() == each.baseVersion() + 1);
            }
        }
        for (String name : List.of("feed-router", "feed-relay")) {
            await().atMost(LONG)
                    .ignoreExceptions()
                    .until(() -> !record(into.resolve(name)).isEmpty());
        }
    }
}
