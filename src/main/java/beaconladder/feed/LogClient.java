package beaconladder.feed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** The grantors' door for operators: one grantor after the other, until one answers. */
public final class LogClient {
    private final List<InetSocketAddress> grantors;
    private final Duration each;
    private final HttpClient http;

    /** One that gives each grantor so long. */
    public LogClient(List<InetSocketAddress> grantors, long millis) {
        this.grantors = List.copyOf(grantors);
        this.each = Duration.ofMillis(millis);
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(each)
                .build();
    }

    /**
     * Proposes; asked again after no answer, it is one change all the same.
     *
     * @throws InvalidProposalException where it can't be right
     * @throws IOException where no grantor answers with a quorum; it may be written or not
     */
    public CommitResult propose(Proposal proposal) throws IOException {
        String body = FeedJson.text(proposal);
        return FeedJson.read(
                any(at -> HttpRequest.newBuilder(uri(at, "/v1/feed/propose"))
                        .POST(HttpRequest.BodyPublishers.ofString(body))),
                CommitResult.class);
    }

    /** The sums as the leader has them. */
    public RelayReports.FleetStatus status() throws IOException {
        return FeedJson.read(
                any(at -> HttpRequest.newBuilder(uri(at, "/v1/feed/status"))), RelayReports.FleetStatus.class);
    }

    /** What one that holds this version lacks, as the leader has it. */
    public Update updateSince(long version) throws IOException {
        return FeedJson.read(
                any(at -> HttpRequest.newBuilder(uri(at, "/v1/feed?wait=0&since=" + version))), Update.class);
    }

    private interface Call {
        HttpRequest.Builder to(InetSocketAddress at);
    }

    private static URI uri(InetSocketAddress at, String path) {
        return URI.create("http://" + at.getAddress().getHostAddress() + ":" + at.getPort() + path);
    }

    private String any(Call call) throws IOException {
        String last = "no grantor is stated";
        for (InetSocketAddress at : grantors) {
            try {
                HttpResponse<String> answer =
                        http.send(call.to(at).timeout(each).build(), HttpResponse.BodyHandlers.ofString());
                if (answer.statusCode() == 200) {
                    return answer.body();
                }
                last = error(answer.body());
                if (answer.statusCode() == 400) {
                    throw new InvalidProposalException(last);
                }
            } catch (InvalidProposalException e) {
                throw e;
            } catch (IOException e) {
                last = String.valueOf(e.getMessage() == null ? e : e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
        }
        throw new IOException("no grantor answers with a leader; is a quorum of them up? The last said: " + last);
    }

    private static String error(String body) {
        try {
            return FeedJson.read(body, com.fasterxml.jackson.databind.JsonNode.class)
                    .path("error")
                    .asText(body);
        } catch (IOException e) {
            return body;
        }
    }
}
