package beaconladder.lease.server;

import beaconladder.lease.LeaseRequest;
import beaconladder.membership.transport.GossipService;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The HTTP endpoint of a lease server for leases and members; lease requests are sent to the leader through Raft. */
final class LeaseEndpoint {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseEndpoint.class);
    private static final String REQUEST_PARAMETER = "ask=";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private final RaftServer server;
    private final RaftClient client;
    /** The gossip service of this server, or null if the plan states none. */
    private final GossipService gossip;

    LeaseEndpoint(RaftServer server, RaftClient client, GossipService gossip) {
        this.server = server;
        this.client = client;
        this.gossip = gossip;
    }

    void register(HttpServer http) {
        http.createContext("/v1/lease", this::handleRequest);
        http.createContext("/v1/leases", this::handleLeases);
        http.createContext("/v1/leader", this::handleLeader);
        http.createContext("/v1/members", this::handleMembers);
    }

    private void handleRequest(HttpExchange exchange) throws IOException {
        LeaseRequest request;
        try {
            request = LeaseJson.readRequest(requestParameter(exchange));
        } catch (InvalidLeaseMessageException e) {
            respond(exchange, BAD_REQUEST, "{\"error\":\"an ask that is not whole\"}");
            return;
        }
        try {
            respond(exchange, client.io().send(Message.valueOf(LeaseJson.toJson(request))));
        } catch (IOException e) {
            respondUnavailable(exchange, e);
        }
    }

    private void handleLeases(HttpExchange exchange) throws IOException {
        try {
            respond(exchange, client.io().sendReadOnly(Message.EMPTY));
        } catch (IOException e) {
            respondUnavailable(exchange, e);
        }
    }

    /** Responds with the leader known to this server, without a call to the others. */
    private void handleLeader(HttpExchange exchange) throws IOException {
        RaftPeerId leader = server.getDivision(RaftSettings.GROUP).getInfo().getLeaderId();
        respond(exchange, OK, "{\"leader\":\"" + (leader == null ? "" : leader) + "\"}");
    }

    private void handleMembers(HttpExchange exchange) throws IOException {
        if (gossip == null) {
            respond(exchange, BAD_REQUEST, "{\"error\":\"no gossip is stated for this grantor\"}");
        } else {
            respond(exchange, OK, LeaseJson.toJson(gossip.view()));
        }
    }

    /** Returns the JSON text of the request, or an empty text if the query has none. */
    private static String requestParameter(HttpExchange exchange) {
        String query = exchange.getRequestURI().getRawQuery();
        return query == null || !query.startsWith(REQUEST_PARAMETER)
                ? ""
                : URLDecoder.decode(query.substring(REQUEST_PARAMETER.length()), StandardCharsets.UTF_8);
    }

    private static void respond(HttpExchange exchange, RaftClientReply reply) throws IOException {
        if (reply.isSuccess()) {
            respond(exchange, OK, reply.getMessage().getContent().toStringUtf8());
        } else {
            respondUnavailable(exchange, reply.getException());
        }
    }

    private static void respondUnavailable(HttpExchange exchange, Exception cause) throws IOException {
        LOG.warn("no response from a Raft leader: {}", String.valueOf(cause));
        respond(exchange, UNAVAILABLE, "{\"error\":\"no leader answers\"}");
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        try (exchange) {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }
}
