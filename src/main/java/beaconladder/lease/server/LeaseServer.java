package beaconladder.lease.server;

import beaconladder.feed.LogEndpoint;
import beaconladder.membership.transport.GossipService;
import beaconladder.plan.Plan;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.storage.RaftStorage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One of the three or five Raft servers that replicate the leases and the log of the feed. Each of them accepts
 * requests; the leader orders them.
 */
public final class LeaseServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseServer.class);
    private static final int HTTP_BACKLOG = 512;

    private final RaftServer server;
    private final RaftClient client;
    private final HttpServer http;
    /** The gossip service of this server, or null if the plan states none. */
    private final GossipService gossip;

    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "lease-server");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Starts a server; it serves requests once a leader is elected.
     *
     * @param name the name of this server in the plan
     * @param clock the Unix time in nanoseconds
     * @throws IOException if the plan has no server of that name, an address is in use, or the log directory is in use
     *     or damaged
     */
    public LeaseServer(Plan.Leases plan, String name, LongSupplier clock) throws IOException {
        Plan.LeaseServer self = plan.server(name);
        if (self == null) {
            throw new IOException("no grantor '" + name + "' is stated");
        }
        List<RaftPeer> peers = plan.servers().stream()
                .map(each -> RaftPeer.newBuilder()
                        .setId(each.name())
                        .setAddress(each.raftAddress())
                        .build())
                .toList();
        RaftGroup group = RaftGroup.valueOf(RaftSettings.GROUP, peers);
        Path logDirectory = Path.of(self.logDirectory());
        RaftStorage.StartupOption startup = startupOption(logDirectory);
        Files.createDirectories(logDirectory);
        RaftProperties properties = RaftSettings.properties(plan, self, logDirectory);
        LeaseStateMachine stateMachine = new LeaseStateMachine(clock, plan.maxClockErrorNanos());
        server = RaftServer.newBuilder()
                .setServerId(peers.get(plan.servers().indexOf(self)).getId())
                .setGroup(group)
                .setProperties(properties)
                .setStateMachine(stateMachine)
                .setOption(startup)
                .build();
        server.start();
        client = RaftClient.newBuilder()
                .setRaftGroup(group)
                .setProperties(properties)
                .setRetryPolicy(RaftSettings.retryPolicy())
                .build();
        gossip = startGossip(plan, self);
        http = startHttp(self.clientAddress(), stateMachine);
        LOG.info(
                "lease server {} listens for clients at {}, and for Raft among {} servers at {}",
                name,
                self.clientAddress(),
                peers.size(),
                self.raftAddress());
    }

    private static RaftStorage.StartupOption startupOption(Path logDirectory) {
        Path groupDirectory = logDirectory.resolve(RaftSettings.GROUP.getUuid().toString());
        return Files.isDirectory(groupDirectory) ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT;
    }

    /** Starts the gossip service: lease servers are the seeds of the fleet's membership. */
    private static GossipService startGossip(Plan.Leases plan, Plan.LeaseServer self) throws IOException {
        if (self.gossipAddress() == null) {
            return null;
        }
        InetSocketAddress listenAddress =
                new InetSocketAddress(self.clientAddress().getAddress(), RaftSettings.port(self.gossipAddress()));
        GossipService gossip = new GossipService(self.name(), listenAddress, self.gossipAddress(), plan.gossipSeeds());
        Thread thread = new Thread(gossip, "gossip");
        thread.setDaemon(true);
        thread.start();
        return gossip;
    }

    private HttpServer startHttp(InetSocketAddress address, LeaseStateMachine stateMachine) throws IOException {
        // Head and body of a response are two TCP segments: with Nagle's algorithm the body waits for the head's ACK.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        HttpServer listener = HttpServer.create(address, HTTP_BACKLOG);
        listener.setExecutor(threads);
        new LeaseEndpoint(server, client, gossip).register(listener);
        new LogEndpoint(listener, new FeedEndpoint(stateMachine, server, RaftSettings.GROUP, client));
        listener.start();
        return listener;
    }

    @Override
    public void close() {
        http.stop(0);
        if (gossip != null) {
            gossip.close();
        }
        threads.shutdownNow();
        try {
            client.close();
            server.close();
        } catch (IOException e) {
            LOG.warn("error while closing the lease server: {}", e.toString());
        }
    }
}
