package beaconladder.feed;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** A client of the log for operators' commands. It tries one lease server after the other until the leader responds. */
public final class LogClient {
    private final List<InetSocketAddress> leaseServers;
    private final Duration timeout;
    private final HttpClient http;

    /**
     * Creates a client that connects on demand.
     *
     * @param timeoutMillis the timeout of a request to one lease server
     */
    public LogClient(List<InetSocketAddress> leaseServers, long timeoutMillis) {
        this.leaseServers = List.copyOf(leaseServers);
        this.timeout = Duration.ofMillis(timeoutMillis);
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(timeout)
                .build();
    }

    /**
     * Proposes a change. Idempotent: a proposal that is retried unchanged is committed at most once.
     *
     * @throws InvalidProposalException if the log rejects it as malformed
     * @throws LogUnavailableException if no leader with a quorum responds; the proposal may have been committed
     * @throws InvalidMessageException if the response is malformed
     */
    public CommitResult propose(Proposal proposal) throws IOException {
        String body = FeedJson.text(proposal);
        return FeedJson.read(
                send(server -> HttpRequest.newBuilder(uri(server, FeedApi.PROPOSE))
                        .POST(HttpRequest.BodyPublishers.ofString(body))),
                CommitResult.class);
    }

    /**
     * Returns the leader's summary of the fleet.
     *
     * @throws LogUnavailableException if no leader responds
     * @throws InvalidMessageException if the response is malformed
     */
    public RelayReports.FleetStatus status() throws IOException {
        return FeedJson.read(
                send(server -> HttpRequest.newBuilder(uri(server, FeedApi.FLEET_STATUS))),
                RelayReports.FleetStatus.class);
    }

    /**
     * Returns the leader's update for a client that holds the given version.
     *
     * @throws LogUnavailableException if no leader responds
     * @throws InvalidMessageException if the response is malformed
     */
    public Update updateSince(long version) throws IOException {
        String path =
                FeedApi.FEED + "?" + FeedApi.WAIT_MILLIS + "=0" + FeedApi.parameter(FeedApi.SINCE_VERSION, version);
        return FeedJson.read(send(server -> HttpRequest.newBuilder(uri(server, path))), Update.class);
    }

    private interface RequestFactory {
        HttpRequest.Builder requestTo(InetSocketAddress server);
    }

    private static URI uri(InetSocketAddress server, String path) {
        return URI.create("http://" + server.getAddress().getHostAddress() + ":" + server.getPort() + path);
    }

    /** Sends a request to each lease server in turn; returns the body of the first successful response. */
    private String send(RequestFactory requestFactory) throws InvalidProposalException, LogUnavailableException {
        String lastError = "no grantor is stated";
        for (InetSocketAddress server : leaseServers) {
            HttpResponse<String> response;
            try {
                HttpRequest request =
                        requestFactory.requestTo(server).timeout(timeout).build();
                response = http.send(request, HttpResponse.BodyHandlers.ofString());
            } catch (IOException e) {
                lastError = e.getMessage() == null ? e.toString() : e.getMessage();
                continue;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new LogUnavailableException(e.toString(), e);
            }
            if (response.statusCode() == HttpURLConnection.HTTP_OK) {
                return response.body();
            }
            lastError = errorMessage(response.body());
            if (response.statusCode() == HttpURLConnection.HTTP_BAD_REQUEST) {
                throw new InvalidProposalException(lastError);
            }
        }
        throw new LogUnavailableException(
                "no grantor answers with a leader; is a quorum of them up? The last said: " + lastError);
    }

    /** Returns the message of an error response, or its complete body if it has none. */
    private static String errorMessage(String body) {
        try {
            return FeedJson.read(body, JsonNode.class).path("error").asText(body);
        } catch (InvalidMessageException e) {
            return body;
        }
    }
}
