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

/** Paths, query parameters and bodies of the log's door and the relay's as exact texts. */
@Timeout(60)
class FeedDoorsTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final String D0 = "2c0a8a99dc147d5445c3b49d035665b2";
    private static final String D1 = "6c5e0ed73a1bfccc0d349728d06dcea6";
    private static final String STATE = "{\"version\":1,\"entries\":{\"x\":\"1\"},\"digest\":\"" + D1 + "\"}";
    private static final String CHANGES = "\"base\":null,\"changes\":[{\"version\":1,\"set\":{\"x\":\"1\"},"
            + "\"remove\":[],\"digest\":\"" + D1 + "\"}]}";
    private static final String HEAD = "{\"version\":1,\"digest\":\"" + D1 + "\",\"lagMillis\":0,";
    private static final String WHOLE = HEAD + "\"base\":" + STATE + ",\"changes\":[]}";
    private static final String NOTHING = HEAD + "\"base\":null,\"changes\":[]}";
    private static final String PROPOSAL = "{\"against\":0,\"set\":{\"x\":\"1\"},\"remove\":[]}";

    private final HttpClient http = HttpClient.newHttpClient();

    private String ask(InetSocketAddress at, String path, String post) throws Exception {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + at.getHostString() + ":" + at.getPort() + path));
        HttpResponse<String> answer = http.send(
                (post == null ? request : request.POST(BodyPublishers.ofString(post))).build(),
                HttpResponse.BodyHandlers.ofString());
        return answer.statusCode() + " " + answer.body();
    }

    @Test
    void theLogCommitsProposalsAndServesUpdates() throws Exception {
        try (InMemoryLog log = new InMemoryLog()) {
            assertThat(ask(log.at(), "/v1/feed?since=0&wait=0", null))
                    .isEqualTo("200 {\"version\":0," + "\"digest\":\"" + D0
                            + "\",\"lagMillis\":0,\"base\":null,\"changes\":[]}");
            assertThat(ask(log.at(), "/v1/feed/propose", PROPOSAL))
                    .isEqualTo("200 {\"outcome\":\"WRITTEN\",\"version\":1,\"digest\":\"" + D1 + "\"}");
            assertThat(ask(log.at(), "/v1/feed/propose", PROPOSAL.replace("\"1\"", "\"2\"")))
                    .isEqualTo("200 {\"outcome\":\"OUT_OF_TURN\",\"version\":1,\"digest\":\"" + D1 + "\"}");
            assertThat(ask(log.at(), "/v1/feed?since=0&wait=0", null)).isEqualTo("200 " + HEAD + CHANGES);
            assertThat(ask(log.at(), "/v1/feed?since=0&wait=0&whole=1", null)).isEqualTo("200 " + WHOLE);
            assertThat(ask(log.at(), "/v1/feed?since=1&wait=0", null)).isEqualTo("200 " + NOTHING);
        }
    }

    @Test
    void theLogSumsUpReportsAndNamesErrors() throws Exception {
        String report = "{\"version\":0,\"lagMillis\":4,\"counts\":[{\"version\":0,\"applied\":5,"
                + "\"refused\":6}],\"older\":7,\"silent\":8}";
        try (InMemoryLog log = new InMemoryLog()) {
            ask(
                    log.at(),
                    "/v1/feed?since=0&wait=0&relay=a&report=" + URLEncoder.encode(report, StandardCharsets.UTF_8),
                    null);
            assertThat(ask(log.at(), "/v1/feed/status", null).replaceAll("(\"agoMillis\":)\\d+", "$1N"))
                    .isEqualTo("200 {\"version\":0,\"digest\":\"" + D0 + "\",\"entries\":0,\"size\":0,"
                            + "\"counts\":[{\"version\":0,\"applied\":5,\"refused\":6}],\"older\":7,"
                            + "\"silent\":8,\"relays\":[{\"relay\":\"a\",\"agoMillis\":N,\"report\":"
                            + report + "}]}");
            assertThat(ask(log.at(), "/v1/feed?since=x&wait=0", null)).startsWith("400 {\"error\":\"since ");
            log.setLeader(false);
            assertThat(ask(log.at(), "/v1/feed/status", null)).startsWith("503 {\"error\":\"");
        }
    }

    @Test
    void theRelayServesRoutersAndItsStatus() throws Exception {
        try (InMemoryLog log = new InMemoryLog();
                Relay relay = new Relay("a", ANY, List.of(log.at()), null, 10)) {
            log.set("x", "1");
            String poll = "/v1/feed?wait=0&name=n&life=1&force=0&refused=0&counts=1&patient=1&since=0";
            await().atMost(LONG)
                    .untilAsserted(
                            () -> assertThat(ask(relay.address(), poll, null)).isEqualTo("200 " + HEAD + CHANGES));
            assertThat(ask(relay.address(), poll + "&whole=1", null).replaceAll("(\"lagMillis\":)\\d+", "$10"))
                    .isEqualTo("200 " + WHOLE);
            await().atMost(LONG)
                    .untilAsserted(() -> assertThat(ask(log.at(), "/v1/feed/status", null))
                            .contains("\"counts\":[{\"version\":0,\"applied\":1,\"refused\":0}]"));
            assertThat(ask(relay.address(), "/v1/relay", null)
                            .replaceAll("Millis\":\\d+", "Millis\":N")
                            .replaceAll("((answers|bytesIn|bytesOut|connections)\":)\\d+", "$1N"))
                    .isEqualTo("200 {\"relay\":\"a\",\"version\":1,\"digest\":\"" + D1 + "\",\"lagMillis\":N,"
                            + "\"connections\":N,\"answers\":N,\"bases\":0,\"refused\":0,\"bytesIn\":N,"
                            + "\"bytesOut\":N}");
            assertThat(ask(relay.address(), "/v1/other", null)).isEqualTo("400 {\"error\":\"no such path\"}");
        }
    }

    @Test
    void routersAndRelaysPollWithTheseParameters() throws Exception {
        BlockingQueue<String> asked = new LinkedBlockingQueue<>();
        HttpServer server = HttpServer.create(ANY, 10);
        server.createContext("/", exchange -> {
            asked.add(exchange.getRequestURI().getRawPath() + "?"
                    + exchange.getRequestURI().getQuery());
            exchange.sendResponseHeaders(400, -1);
            exchange.close();
        });
        server.start();
        try {
            try (Subscriber router =
                    new Subscriber("n", 5, Map.of("a", server.getAddress()), null, new RecordingApplier())) {
                new Thread(router).start();
                assertThat(asked.poll(20, TimeUnit.SECONDS))
                        .isEqualTo("/v1/feed?since=0&wait=0&name=n&life=5&force=0&refused=0");
            }
            TimeUnit.MILLISECONDS.sleep(100);
            asked.clear();
            try (Relay relay = new Relay("r", ANY, List.of(server.getAddress()), null, 10)) {
                assertThat(relay).isNotNull();
                assertThat(asked.poll(20, TimeUnit.SECONDS))
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
