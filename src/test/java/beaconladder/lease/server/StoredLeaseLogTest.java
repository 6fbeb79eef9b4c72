package beaconladder.lease.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.plan.Plan;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Opens a store written by an earlier build, under src/test/resources/stored/lease-server: the Raft directory of a
 * single lease server, with two snapshots and a log. It must be read with the same content, and accept further
 * requests. {@link #generate} wrote it.
 */
class StoredLeaseLogTest {
    private static final Path FIXTURE = Path.of("src/test/resources/stored/lease-server");
    private static final String GROUP = "b7a2c0de-0000-4000-8000-000000000001";
    private static final String LEASES = "{\"clock\":1700000000000000000,\"leases\":{"
            + "\"index\":{\"task\":\"index\",\"holder\":\"c#2\",\"token\":1,\"expiry\":1700000010000000000,"
            + "\"gaveUp\":\"\",\"gaveUpNumber\":0,\"heir\":\"\",\"heirUntil\":-9223372036854775808},"
            + "\"mover\":{\"task\":\"mover\",\"holder\":\"a#1\",\"token\":1,\"expiry\":1700000010000000000,"
            + "\"gaveUp\":\"\",\"gaveUpNumber\":0,\"heir\":\"c\",\"heirUntil\":1700000020050000000},"
            + "\"archive\":{\"task\":\"archive\",\"holder\":\"b#7\",\"token\":2,"
            + "\"expiry\":1700000010000000000,"
            + "\"gaveUp\":\"b#7\",\"gaveUpNumber\":2,\"heir\":\"\",\"heirUntil\":-9223372036854775808}}}";
    private static final String FEED = "{\"version\":2,\"digest\":\"e03bbc4c6bfacf9ed01ad920487dad58\","
            + "\"lagMillis\":0,\"base\":{\"version\":2,\"entries\":{\"plan.json\":\"2\"},"
            + "\"digest\":\"e03bbc4c6bfacf9ed01ad920487dad58\"},\"changes\":[]}";
    private static final ObjectMapper JSON = new ObjectMapper();
    /** The time at which the store was written, in Unix nanoseconds. */
    private static final long WRITTEN_AT_NANOS = 1_700_000_000_000_000_000L;
    /** The time at which the test opens it, in Unix nanoseconds. */
    private static final long OPENED_AT_NANOS = WRITTEN_AT_NANOS + 1_000_000_000L;

    @TempDir
    private Path folder;

    private int httpPort;
    private int raftPort;

    /** Opens it with the newest snapshot; with the older one and the log after it; with the log alone. */
    @ParameterizedTest
    @ValueSource(strings = {"none", "snapshot\\.1_18.*", "snapshot\\..*"})
    void storeOfAnEarlierBuildIsReadAndAcceptsRequests(String excludedFiles) throws Exception {
        copy(excludedFiles);
        try (LeaseServer server = open(OPENED_AT_NANOS)) {
            assertThat(server).isNotNull();
            assertThat(get("/v1/leader")).isEqualTo("{\"leader\":\"one\"}");
            assertThat(JSON.readTree(get("/v1/leases"))).isEqualTo(JSON.readTree(LEASES));
            assertThat(get("/v1/feed?since=0&wait=0")).isEqualTo(FEED);

            assertThat(sendRequest("TAKE", "index", "c#2", 2, 1, ""))
                    .as("a renewal")
                    .isEqualTo("{\"task\":\"index\",\"number\":2,\"why\":\"GRANTED\",\"grant\":{\"task\":\"index\","
                            + "\"holder\":\"c#2\",\"token\":1,\"expiry\":1700000011000000000},"
                            + "\"holder\":\"\",\"free\":0}");
            assertThat(sendRequest("TAKE", "mover", "a#1", 3, 1, ""))
                    .as("reserved for the successor")
                    .isEqualTo(refused("mover", 3, "HANDED_OVER", "a#1", 0));
            assertThat(sendRequest("TAKE", "archive", "a#1", 1, 0, ""))
                    .as("held by another process")
                    .isEqualTo(refused("archive", 1, "HELD", "b#7", 9_050_000_000L));
            assertThat(sendRequest("TAKE", "archive", "b#7", 1, 2, ""))
                    .as("sent before the release")
                    .isEqualTo(refused("archive", 1, "OVERTAKEN", "b#7", 0));
            assertThat(sendRequest("RELEASE", "archive", "b#7", 4, 2, ""))
                    .as("a release")
                    .isEqualTo(refused("archive", 4, "DONE", "", 0));
            assertThat(sendRequest("TAKE", "archive", "a#1", 2, 0, ""))
                    .as("a higher token")
                    .contains("\"token\":3,");
            for (String repeated : List.of(
                    propose(0, "\"plan.json\":\"1\",\"old.json\":\"0\"", ""),
                    propose(1, "\"plan.json\":\"2\"", "\"old.json\""))) {
                assertThat(repeated)
                        .as("a change that was committed before")
                        .isEqualTo("{\"outcome\":\"WRITTEN\","
                                + "\"version\":2,\"digest\":\"e03bbc4c6bfacf9ed01ad920487dad58\"}");
            }
            assertThat(propose(1, "\"plan.json\":\"3\"", "")).contains("\"OUT_OF_TURN\",\"version\":2,");
            assertThat(propose(2, "\"plan.json\":\"3\"", "")).contains("\"WRITTEN\",\"version\":3,");
        }
    }

    private static String refused(String task, long number, String why, String holder, long free) {
        return "{\"task\":\"" + task + "\",\"number\":" + number + ",\"why\":\"" + why
                + "\",\"grant\":null,\"holder\":\"" + holder + "\",\"free\":" + free + "}";
    }

    /** Writes the store into an empty folder; run by hand with the build whose format is to be pinned. */
    void generate(Path into) throws Exception {
        folder = into;
        try (LeaseServer server = open(WRITTEN_AT_NANOS)) {
            assertThat(server).isNotNull();
            sendRequest("TAKE", "mover", "a#1", 1, 0, "");
            sendRequest("TAKE", "archive", "b#7", 1, 0, "");
            sendRequest("RELEASE", "archive", "b#7", 2, 1, "");
            propose(0, "\"plan.json\":\"1\",\"old.json\":\"0\"", "");
            try (RaftClient client = RaftClient.newBuilder()
                    .setProperties(new RaftProperties())
                    .setRaftGroup(RaftGroup.valueOf(
                            RaftGroupId.valueOf(UUID.fromString(GROUP)),
                            RaftPeer.newBuilder()
                                    .setId("one")
                                    .setAddress("127.0.0.1:" + raftPort)
                                    .build()))
                    .build()) {
                assertThat(client.getSnapshotManagementApi().create(1, 10_000).isSuccess())
                        .isTrue();
            }
            sendRequest("TAKE", "mover", "a#1", 2, 1, "");
            sendRequest("HAND_OVER", "mover", "", 0, 0, "c");
            sendRequest("TAKE", "archive", "b#7", 3, 0, "");
            sendRequest("TAKE", "index", "c#2", 1, 0, "");
            propose(1, "\"plan.json\":\"2\"", "\"old.json\"");
        }
        Files.deleteIfExists(folder.resolve(GROUP).resolve("in_use.lock"));
    }

    private void copy(String excludedFiles) throws IOException {
        Files.createDirectories(folder.resolve(GROUP).resolve("sm"));
        try (Stream<Path> all = Files.walk(FIXTURE)) {
            for (Path each : all.filter(Files::isRegularFile)
                    .filter(file -> !file.getFileName().toString().matches(excludedFiles))
                    .toList()) {
                Path to = folder.resolve(FIXTURE.relativize(each).toString());
                Files.createDirectories(to.getParent());
                Files.copy(each, to);
            }
        }
    }

    /** Opens the store, and waits until the server is the leader. */
    private LeaseServer open(long now) throws Exception {
        httpPort = port();
        raftPort = port();
        Plan.Leases plan = new Plan.Leases(
                10_000_000_000L,
                50_000_000L,
                8 << 20,
                List.of(new Plan.LeaseServer(
                        "one",
                        "127.0.0.1:" + raftPort,
                        new InetSocketAddress("127.0.0.1", httpPort),
                        folder.toString(),
                        null)));
        LeaseServer server = new LeaseServer(plan, "one", () -> now);
        long end = System.nanoTime() + 30_000_000_000L;
        while (get("/v1/feed?since=0&wait=0").contains("error") && System.nanoTime() < end) {
            Thread.sleep(50);
        }
        return server;
    }

    private static int port() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    private String sendRequest(String kind, String task, String holder, long number, long token, String successor)
            throws Exception {
        return get("/v1/lease?ask="
                + URLEncoder.encode(
                        "{\"kind\":\"" + kind + "\",\"task\":\"" + task
                                + "\",\"holder\":\"" + holder + "\",\"number\":" + number + ",\"token\":" + token
                                + ",\"length\":" + (kind.equals("RELEASE") ? 0 : 10_000_000_000L) + ",\"heir\":\""
                                + successor
                                + "\"}",
                        StandardCharsets.UTF_8));
    }

    private String propose(long baseVersion, String set, String remove) throws Exception {
        return send(HttpRequest.newBuilder(uri("/v1/feed/propose"))
                .POST(HttpRequest.BodyPublishers.ofString(
                        "{\"against\":" + baseVersion + ",\"set\":{" + set + "},\"remove\":[" + remove + "]}"))
                .build());
    }

    private String get(String path) throws Exception {
        return send(HttpRequest.newBuilder(uri(path)).build());
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + httpPort + path);
    }

    private static String send(HttpRequest request) throws Exception {
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.ofString())
                .body();
    }
}
