package beaconladder.feed;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The feed's HTTP endpoint on a lease server. Only the leader responds, and only with applied log entries, so that
 * relays never receive a version that could still be lost. This class also summarizes the reports of the relays, for
 * {@code feed status}.
 */
public final class LogEndpoint {
    /** The limit of a proposal: a state of the largest size with each character escaped, and its JSON structure. */
    private static final int MAX_BODY_BYTES = 8 * VersionedState.MAX_CHARACTERS;

    private static final long MAX_WAIT_MILLIS = 5_000;

    /** The replicated log behind the endpoint. */
    public interface Log {
        /** Returns the notifier that publishes the versions that this replica has applied. */
        VersionNotifier versions();

        /** Returns whether this replica is the leader; the result may be outdated. */
        boolean isLeader();

        /**
         * Commits a proposal.
         *
         * @throws IOException if no quorum accepts the proposal in time; it may or may not be committed then
         */
        CommitResult commit(Proposal proposal) throws IOException;
    }

    private interface Handler {
        Object handle(HttpExchange exchange) throws IOException, InterruptedException;
    }

    private record Response(int statusCode, String body) {
        static Response error(int statusCode, Exception cause) {
            return new Response(statusCode, FeedJson.text(Map.of("error", String.valueOf(cause.getMessage()))));
        }
    }

    private final Log log;
    private final RelayReports reports = new RelayReports();

    /** Adds the feed's paths to an HTTP server. */
    public LogEndpoint(HttpServer server, Log log) {
        this.log = log;
        register(server, FeedApi.FEED, this::update);
        register(server, FeedApi.FLEET_STATUS, this::status);
        register(server, FeedApi.PROPOSE, this::propose);
    }

    private static void register(HttpServer server, String path, Handler handler) {
        server.createContext(path, exchange -> {
            try (exchange) {
                send(exchange, respond(exchange, path, handler));
            }
        });
    }

    private Update update(HttpExchange exchange) throws IOException, InterruptedException {
        QueryString query = new QueryString(exchange.getRequestURI().getRawQuery());
        long sinceVersion = query.number(FeedApi.SINCE_VERSION, Long.MAX_VALUE);
        long waitMillis = query.number(FeedApi.WAIT_MILLIS, MAX_WAIT_MILLIS);
        requireLeader();
        String relay = query.text(FeedApi.RELAY_NAME);
        if (relay != null) {
            recordReport(relay, query.text(FeedApi.REPORT));
        }
        VersionHistory history = log.versions().awaitNewer(sinceVersion, waitMillis);
        requireLeader();
        return history.updateSince(sinceVersion, query.isSet(FeedApi.FULL_STATE));
    }

    private void recordReport(String relay, String report) throws InvalidMessageException {
        if (!Proposal.isValidName(relay) || report == null) {
            throw new InvalidMessageException("a report that is not whole");
        }
        reports.record(relay, FeedJson.read(report, RelayReport.class).validated(), System.nanoTime());
    }

    private RelayReports.FleetStatus status(HttpExchange exchange) throws LogUnavailableException {
        requireLeader();
        return reports.summarize(log.versions().current().newest(), System.nanoTime());
    }

    private CommitResult propose(HttpExchange exchange) throws IOException {
        if (!exchange.getRequestMethod().equals("POST")) {
            throw new InvalidMessageException("a proposal is posted");
        }
        byte[] body = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES + 1);
        if (body.length > MAX_BODY_BYTES) {
            throw new InvalidMessageException("a proposal of more than " + MAX_BODY_BYTES + " bytes");
        }
        Proposal proposal = FeedJson.read(new String(body, StandardCharsets.UTF_8), Proposal.class)
                .validated();
        try {
            return log.commit(proposal);
        } catch (IOException e) {
            throw new LogUnavailableException("no quorum answered: it may be written or not; ask again, the same", e);
        }
    }

    private void requireLeader() throws LogUnavailableException {
        if (!log.isLeader()) {
            throw new LogUnavailableException("another grantor leads");
        }
    }

    private static Response respond(HttpExchange exchange, String path, Handler handler) {
        try {
            // The HTTP server also routes longer paths to this handler.
            if (!exchange.getRequestURI().getPath().equals(path)) {
                throw new InvalidMessageException("no such path");
            }
            return new Response(HttpURLConnection.HTTP_OK, FeedJson.text(handler.handle(exchange)));
        } catch (LogUnavailableException | InterruptedException e) {
            return Response.error(HttpURLConnection.HTTP_UNAVAILABLE, e);
        } catch (IOException e) {
            return Response.error(HttpURLConnection.HTTP_BAD_REQUEST, e);
        }
    }

    private static void send(HttpExchange exchange, Response response) throws IOException {
        byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(response.statusCode(), bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
