package beaconladder.lease.server;

import beaconladder.feed.LogEndpoint;
import beaconladder.lease.LeaseRequest;
import beaconladder.membership.transport.GossipService;
import beaconladder.plan.Plan;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One of the three or five processes that grant leases together; any of them takes asks, and the leader decides. */
public final class LeaseServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseServer.class);
    /** All grantors of an installation are of one group; its number means nothing. */
    private static final RaftGroupId GROUP =
            RaftGroupId.valueOf(java.util.UUID.fromString("b7a2c0de-0000-4000-8000-000000000001"));
    /**
     * A leader is missed after a tenth of a lease, but no sooner than this: with 150 to 300 ms three grantors that had
     * just started agreed on no leader in 30 s, as their first calls take longer.
     */
    private static final long LEAST_MISSED = 500_000_000L;
    /** A snapshot so often keeps the log short: an ask takes some 400 bytes of it. */
    private static final long SNAPSHOT_EVERY = 2_000;

    private static final int RETRIES = 4;

    private final RaftServer server;
    private final RaftClient client;
    private final HttpServer door;
    /** Its place in the fleet, or null. */
    private final GossipService gossip;

    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "grantor");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * A grantor that answers from now on, once it has found or become a leader.
     *
     * @param clock Unix time in nanoseconds
     * @throws IOException where an address is taken, or its folder is in use or damaged
     */
    public LeaseServer(Plan.Leases plan, String name, LongSupplier clock) throws IOException {
        Plan.Grantor self = plan.grantor(name);
        if (self == null) {
            throw new IOException("no grantor '" + name + "' is stated");
        }
        List<RaftPeer> peers = plan.grantors().stream()
                .map(each -> RaftPeer.newBuilder()
                        .setId(each.name())
                        .setAddress(each.raft())
                        .build())
                .toList();
        RaftGroup group = RaftGroup.valueOf(GROUP, peers);
        Path folder = Path.of(self.store());
        boolean first = !Files.isDirectory(folder.resolve(GROUP.getUuid().toString()));
        Files.createDirectories(folder);
        RaftProperties properties = properties(plan, self, folder);
        LeaseStateMachine log = new LeaseStateMachine(clock, plan.bound());
        server = RaftServer.newBuilder()
                .setServerId(peers.get(plan.grantors().indexOf(self)).getId())
                .setGroup(group)
                .setProperties(properties)
                .setStateMachine(log)
                .setOption(first ? RaftStorage.StartupOption.FORMAT : RaftStorage.StartupOption.RECOVER)
                .build();
        server.start();
        client = RaftClient.newBuilder()
                .setRaftGroup(group)
                .setProperties(properties)
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(RETRIES, millis(50)))
                .build();
        gossip = gossip(plan, self);
        // Head and body of an answer are two segments: without this the second waits for the other's ACK.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        door = HttpServer.create(self.at(), 512);
        door.setExecutor(threads);
        door.createContext("/v1/lease", this::ask);
        door.createContext("/v1/leases", this::status);
        door.createContext("/v1/leader", this::leader);
        door.createContext("/v1/members", this::members);
        new LogEndpoint(door, new FeedEndpoint(log, server, GROUP, client));
        door.start();
        LOG.info("grantor {} answers at {}, {} of them at {}", name, self.at(), peers.size(), self.raft());
    }

    /** Grantors are the seeds of the fleet's membership. */
    private static GossipService gossip(Plan.Leases plan, Plan.Grantor self) throws IOException {
        if (self.gossip() == null) {
            return null;
        }
        int port = Integer.parseInt(self.gossip().substring(self.gossip().lastIndexOf(':') + 1));
        GossipService gossip = new GossipService(
                self.name(), new InetSocketAddress(self.at().getAddress(), port), self.gossip(), plan.seeds());
        Thread thread = new Thread(gossip, "gossip");
        thread.setDaemon(true);
        thread.start();
        return gossip;
    }

    private static RaftProperties properties(Plan.Leases plan, Plan.Grantor self, Path folder) {
        RaftProperties of = new RaftProperties();
        RaftServerConfigKeys.setStorageDir(of, List.of(folder.toFile()));
        RaftConfigKeys.Rpc.setType(of, SupportedRpcType.GRPC);
        GrpcConfigKeys.Server.setHost(of, self.at().getAddress().getHostAddress());
        GrpcConfigKeys.Server.setPort(
                of, Integer.parseInt(self.raft().substring(self.raft().lastIndexOf(':') + 1)));
        long missed = Math.max(LEAST_MISSED, plan.length() / 10);
        RaftServerConfigKeys.Rpc.setTimeoutMin(of, TimeDuration.valueOf(missed, TimeUnit.NANOSECONDS));
        RaftServerConfigKeys.Rpc.setTimeoutMax(of, TimeDuration.valueOf(2 * missed, TimeUnit.NANOSECONDS));
        RaftServerConfigKeys.Rpc.setRequestTimeout(of, TimeDuration.valueOf(2 * missed, TimeUnit.NANOSECONDS));
        RaftClientConfigKeys.Rpc.setRequestTimeout(of, TimeDuration.valueOf(2 * missed, TimeUnit.NANOSECONDS));
        // An eighth of the disk a segment: two are open, snapshots purge the rest.
        SizeInBytes segment = SizeInBytes.valueOf(Math.max(64 * 1024, plan.disk() / 8));
        RaftServerConfigKeys.Log.setSegmentSizeMax(of, segment);
        RaftServerConfigKeys.Log.setPreallocatedSize(of, SizeInBytes.valueOf(64 * 1024));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(of, true);
        RaftServerConfigKeys.Log.setPurgeGap(of, (int) SNAPSHOT_EVERY);
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(of, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(of, SNAPSHOT_EVERY);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(of, 2);
        return of;
    }

    private static TimeDuration millis(long n) {
        return TimeDuration.valueOf(n, TimeUnit.MILLISECONDS);
    }

    private void ask(HttpExchange exchange) throws IOException {
        String text = asked(exchange);
        LeaseRequest ask;
        try {
            ask = LeaseJson.ask(text);
        } catch (IOException e) {
            reply(exchange, 400, "{\"error\":\"an ask that is not whole\"}");
            return;
        }
        try {
            reply(exchange, client.io().send(Message.valueOf(LeaseJson.text(ask))));
        } catch (IOException e) {
            away(exchange, e);
        }
    }

    private void status(HttpExchange exchange) throws IOException {
        try {
            reply(exchange, client.io().sendReadOnly(Message.EMPTY));
        } catch (IOException e) {
            away(exchange, e);
        }
    }

    /** Whom this grantor takes for the leader, without asking the others. */
    private void leader(HttpExchange exchange) throws IOException {
        RaftPeerId leader = server.getDivision(GROUP).getInfo().getLeaderId();
        reply(exchange, 200, "{\"leader\":\"" + (leader == null ? "" : leader) + "\"}");
    }

    private void members(HttpExchange exchange) throws IOException {
        if (gossip == null) {
            reply(exchange, 400, "{\"error\":\"no gossip is stated for this grantor\"}");
        } else {
            reply(exchange, 200, LeaseJson.text(gossip.view()));
        }
    }

    private static String asked(HttpExchange exchange) {
        String query = exchange.getRequestURI().getRawQuery();
        return query == null || !query.startsWith("ask=")
                ? ""
                : URLDecoder.decode(query.substring(4), StandardCharsets.UTF_8);
    }

    private static void away(HttpExchange exchange, IOException e) throws IOException {
        LOG.warn("no leader answers: {}", e.toString());
        reply(exchange, 503, "{\"error\":\"no leader answers\"}");
    }

    private static void reply(HttpExchange exchange, RaftClientReply reply) throws IOException {
        if (reply.isSuccess()) {
            reply(exchange, 200, reply.getMessage().getContent().toStringUtf8());
        } else {
            away(exchange, new IOException(String.valueOf(reply.getException())));
        }
    }

    private static void reply(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        try (exchange) {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    @Override
    public void close() {
        door.stop(0);
        if (gossip != null) {
            gossip.close();
        }
        threads.shutdownNow();
        try {
            client.close();
            server.close();
        } catch (IOException e) {
            LOG.warn("at the end: {}", e.toString());
        }
    }
}
