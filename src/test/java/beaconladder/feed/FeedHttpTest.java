package beaconladder.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Exact paths, query parameters and bodies of the HTTP interfaces of the log and of a relay. */
@Timeout(60)
class FeedHttpTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String EMPTY_DIGEST = "2c0a8a99dc147d5445c3b49d035665b2";
    private static final String DIGEST = "6c5e0ed73a1bfccc0d349728d06dcea6";
    private static final String STATE = "{\"version\":1,\"entries\":{\"x\":\"1\"},\"digest\":\"" + DIGEST + "\"}";
    private static final String CHANGES = "\"base\":null,\"changes\":[{\"version\":1,\"set\":{\"x\":\"1\"},"
            + "\"remove\":[],\"digest\":\"" + DIGEST + "\"}]}";
    private static final String HEAD = "{\"version\":1,\"digest\":\"" + DIGEST + "\",\"lagMillis\":0,";
    private static final String FULL_STATE = HEAD + "\"base\":" + STATE + ",\"changes\":[]}";
    private static final String NO_CHANGES = HEAD + "\"base\":null,\"changes\":[]}";
    private static final String PROPOSAL = "{\"against\":0,\"set\":{\"x\":\"1\"},\"remove\":[]}";

    private final HttpClient http = HttpClient.newHttpClient();

    private String send(InetSocketAddress address, String path, String body) throws Exception {
        HttpRequest.Builder builder = HttpRequest.newBuilder(
                URI.create("http://" + address.getHostString() + ":" + address.getPort() + path));
        HttpResponse<String> response = http.send(
                (body == null ? builder : builder.POST(BodyPublishers.ofString(body))).build(),
                HttpResponse.BodyHandlers.ofString());
        return response.statusCode() + " " + response.body();
    }

    @Test
    void theLogCommitsProposalsAndServesUpdates() throws Exception {
        try (InMemoryLog log = new InMemoryLog()) {
            assertThat(send(log.address(), "/v1/feed?since=0&wait=0", null))
                    .isEqualTo("200 {\"version\":0," + "\"digest\":\"" + EMPTY_DIGEST
                            + "\",\"lagMillis\":0,\"base\":null,\"changes\":[]}");
            assertThat(send(log.address(), "/v1/feed/propose", PROPOSAL))
                    .isEqualTo("200 {\"outcome\":\"WRITTEN\",\"version\":1,\"digest\":\"" + DIGEST + "\"}");
            assertThat(send(log.address(), "/v1/feed/propose", PROPOSAL.replace("\"1\"", "\"2\"")))
                    .isEqualTo("200 {\"outcome\":\"OUT_OF_TURN\",\"version\":1,\"digest\":\"" + DIGEST + "\"}");
            assertThat(send(log.address(), "/v1/feed?since=0&wait=0", null)).isEqualTo("200 " + HEAD + CHANGES);
            assertThat(send(log.address(), "/v1/feed?since=0&wait=0&whole=1", null))
                    .isEqualTo("200 " + FULL_STATE);
            assertThat(send(log.address(), "/v1/feed?since=1&wait=0", null)).isEqualTo("200 " + NO_CHANGES);
        }
    }

    @Test
    void theLogSumsUpReportsAndNamesErrors() throws Exception {
        String report = "{\"version\":0,\"lagMillis\":4,\"counts\":[{\"version\":0,\"applied\":5,"
                + "\"refused\":6}],\"older\":7,\"silent\":8}";
        try (InMemoryLog log = new InMemoryLog()) {
            send(
                    log.address(),
                    "/v1/feed?since=0&wait=0&relay=a&report=" + URLEncoder.encode(report, StandardCharsets.UTF_8),
                    null);
            assertThat(send(log.address(), "/v1/feed/status", null).replaceAll("(\"agoMillis\":)\\d+", "$1N"))
                    .isEqualTo("200 {\"version\":0,\"digest\":\"" + EMPTY_DIGEST + "\",\"entries\":0,\"size\":0,"
                            + "\"counts\":[{\"version\":0,\"applied\":5,\"refused\":6}],\"older\":7,"
                            + "\"silent\":8,\"relays\":[{\"relay\":\"a\",\"agoMillis\":N,\"report\":"
                            + report + "}]}");
            assertThat(send(log.address(), "/v1/feed?since=x&wait=0", null)).startsWith("400 {\"error\":\"since ");
            log.setLeader(false);
            assertThat(send(log.address(), "/v1/feed/status", null)).startsWith("503 {\"error\":\"");
        }
    }

    @Test
    void theRelayServesRoutersAndItsStatus() throws Exception {
        try (InMemoryLog log = new InMemoryLog();
                Relay relay = new Relay("a", ANY_PORT, List.of(log.address()), null, 10)) {
            log.set("x", "1");
            String poll = "/v1/feed?wait=0&name=n&life=1&force=0&refused=0&counts=1&patient=1&since=0";
            await().atMost(TIMEOUT)
                    .untilAsserted(
                            () -> assertThat(send(relay.address(), poll, null)).isEqualTo("200 " + HEAD + CHANGES));
            assertThat(send(relay.address(), poll + "&whole=1", null).replaceAll("(\"lagMillis\":)\\d+", "$10"))
                    .isEqualTo("200 " + FULL_STATE);
            await().atMost(TIMEOUT)
                    .untilAsserted(() -> assertThat(send(log.address(), "/v1/feed/status", null))
                            .contains("\"counts\":[{\"version\":0,\"applied\":1,\"refused\":0}]"));
            assertThat(send(relay.address(), "/v1/relay", null)
                            .replaceAll("Millis\":\\d+", "Millis\":N")
                            .replaceAll("((answers|bytesIn|bytesOut|connections)\":)\\d+", "$1N"))
                    .isEqualTo("200 {\"relay\":\"a\",\"version\":1,\"digest\":\"" + DIGEST + "\",\"lagMillis\":N,"
                            + "\"connections\":N,\"answers\":N,\"bases\":0,\"refused\":0,\"bytesIn\":N,"
                            + "\"bytesOut\":N}");
            assertThat(send(relay.address(), "/v1/other", null)).isEqualTo("400 {\"error\":\"no such path\"}");
        }
    }

    @Test
    void routersAndRelaysPollWithTheseParameters() throws Exception {
        BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        HttpServer server = HttpServer.create(ANY_PORT, 10);
        server.createContext("/", exchange -> {
            requests.add(exchange.getRequestURI().getRawPath() + "?"
                    + exchange.getRequestURI().getQuery());
            exchange.sendResponseHeaders(400, -1);
            exchange.close();
        });
        server.start();
        try {
            try (Subscriber router =
                    new Subscriber("n", 5, Map.of("a", server.getAddress()), null, new RecordingApplier())) {
                new Thread(router).start();
                assertThat(requests.poll(20, TimeUnit.SECONDS))
                        .isEqualTo("/v1/feed?since=0&wait=0&name=n&life=5&force=0&refused=0");
            }
            TimeUnit.MILLISECONDS.sleep(100);
            requests.clear();
            try (Relay relay = new Relay("r", ANY_PORT, List.of(server.getAddress()), null, 10)) {
                assertThat(relay).isNotNull();
                assertThat(requests.poll(20, TimeUnit.SECONDS))
                        .isEqualTo("/v1/feed?since=0&wait=500&relay=r"
                                + "&report={\"version\":0,\"lagMillis\":1000000000000,\"counts\":[],\"older\":0,"
                                + "\"silent\":0}");
            }
        } finally {
            server.stop(0);
        }
    }

    @Test
    void queryParametersAreFoundByNameAndDecoded() throws IOException {
        QueryString query = new QueryString("name=a%2Fb&since=12&whole=1&counts=0");
        assertThat(query.text("name")).isEqualTo("a/b");
        assertThat(query.number("since", 12)).isEqualTo(12);
        assertThat(query.isSet("whole")).isTrue();
        assertThat(query.isSet("counts")).isFalse();
    }
}
