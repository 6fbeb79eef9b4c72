package beaconladder.feed;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The feed's part of a grantor's door. The leader alone answers, from what the log has applied: relays hear of nothing
 * that could be lost again, and hand in their sums where {@code feed status} asks for them.
 */
public final class LogEndpoint {
    /** A state of the largest size, each character escaped, and its frame. */
    private static final int LONGEST_BODY = 8 * VersionedState.MAX_CHARACTERS;

    private static final long LONGEST_WAIT = 5_000;

    /** The log behind the door. */
    public interface Log {
        /** What it has applied. */
        VersionNotifier versions();

        /** Whether it is the leader's, as far as that is known here. */
        boolean isLeader();

        /**
         * Writes a proposal.
         *
         * @throws IOException where no quorum takes it in time; whether it is written is then not known
         */
        CommitResult commit(Proposal proposal) throws IOException;
    }

    /** What can be answered. */
    private interface Answer {
        Object of(HttpExchange exchange) throws IOException, Away, InterruptedException;
    }

    /** No leader here. */
    private static final class Away extends Exception {
        private static final long serialVersionUID = 1L;

        private Away(String message) {
            super(message);
        }
    }

    private final Log log;
    private final RelayReports reports = new RelayReports();

    /** Adds its paths to a door. */
    public LogEndpoint(HttpServer door, Log log) {
        this.log = log;
        door.createContext("/v1/feed", exchange -> answer(exchange, "/v1/feed", this::since));
        door.createContext("/v1/feed/status", exchange -> answer(exchange, "/v1/feed/status", this::status));
        door.createContext("/v1/feed/propose", exchange -> answer(exchange, "/v1/feed/propose", this::propose));
    }

    private Update since(HttpExchange exchange) throws IOException, Away, InterruptedException {
        QueryString query = new QueryString(exchange.getRequestURI().getRawQuery());
        long since = query.number("since", Long.MAX_VALUE);
        long wait = query.number("wait", LONGEST_WAIT);
        isLeader();
        String relay = query.text("relay");
        if (relay != null) {
            if (!Proposal.isValidName(relay) || query.text("report") == null) {
                throw new IOException("a report that is not whole");
            }
            reports.heard(
                    relay,
                    FeedJson.read(query.text("report"), RelayReport.class).validated(),
                    System.nanoTime());
        }
        VersionHistory now = log.versions().awaitNewer(since, wait);
        isLeader();
        return now.updateSince(since, query.is("whole"));
    }

    private RelayReports.FleetStatus status(HttpExchange exchange) throws Away {
        isLeader();
        return reports.sum(log.versions().current().newest(), System.nanoTime());
    }

    private CommitResult propose(HttpExchange exchange) throws IOException, Away {
        if (!exchange.getRequestMethod().equals("POST")) {
            throw new IOException("a proposal is posted");
        }
        byte[] body = exchange.getRequestBody().readNBytes(LONGEST_BODY + 1);
        if (body.length > LONGEST_BODY) {
            throw new IOException("a proposal of more than " + LONGEST_BODY + " bytes");
        }
        Proposal proposal = FeedJson.read(new String(body, StandardCharsets.UTF_8), Proposal.class)
                .validated();
        try {
            return log.commit(proposal);
        } catch (IOException e) {
            throw new Away("no quorum answered: it may be written or not; ask again, the same");
        }
    }

    private void isLeader() throws Away {
        if (!log.isLeader()) {
            throw new Away("another grantor leads");
        }
    }

    private static void answer(HttpExchange exchange, String path, Answer answer) throws IOException {
        int code = 200;
        String body;
        try (exchange) {
            try {
                if (!exchange.getRequestURI().getPath().equals(path)) {
                    throw new IOException("no such path");
                }
                body = FeedJson.text(answer.of(exchange));
            } catch (Away | InterruptedException e) {
                code = 503;
                body = FeedJson.text(Map.of("error", String.valueOf(e.getMessage())));
            } catch (IOException e) {
                code = 400;
                body = FeedJson.text(Map.of("error", String.valueOf(e.getMessage())));
            }
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(code, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }
}
