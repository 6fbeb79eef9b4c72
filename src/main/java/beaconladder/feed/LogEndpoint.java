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
    private static final int LONGEST_BODY = 8 * VersionedState.LARGEST;

    private static final long LONGEST_WAIT = 5_000;

    /** The log behind the door. */
    public interface Log {
        /** What it has applied. */
        VersionNotifier board();

        /** Whether it is the leader's, as far as that is known here. */
        boolean leads();

        /**
         * Writes a proposal.
         *
         * @throws IOException where no quorum takes it in time; whether it is written is then not known
         */
        CommitResult write(Proposal proposal) throws IOException;
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
        leads();
        String relay = query.text("relay");
        if (relay != null) {
            if (!Proposal.isName(relay) || query.text("report") == null) {
                throw new IOException("a report that is not whole");
            }
            reports.heard(
                    relay,
                    FeedJson.read(query.text("report"), RelayReport.class).checked(),
                    System.nanoTime());
        }
        VersionHistory now = log.board().after(since, wait);
        leads();
        return now.since(since, query.is("whole"));
    }

    private RelayReports.Sum status(HttpExchange exchange) throws Away {
        leads();
        return reports.sum(log.board().now().newest(), System.nanoTime());
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
                .checked();
        try {
            return log.write(proposal);
        } catch (IOException e) {
            throw new Away("no quorum answered: it may be written or not; ask again, the same");
        }
    }

    private void leads() throws Away {
        if (!log.leads()) {
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
