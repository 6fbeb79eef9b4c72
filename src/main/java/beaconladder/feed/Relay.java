package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Replicates the log to routers. Each relay follows the log directly, so that every router is at most two hops from it.
 */
public final class Relay implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Relay.class);
    /** The longest time that a poll may wait. */
    private static final long MAX_WAIT_MILLIS = 10_000;
    /** The stack size of the follower's thread. */
    private static final long STACK_BYTES = 256 * 1024;

    private final String name;
    private final VersionNotifier versions = new VersionNotifier();
    private final AcknowledgementSummary acknowledgements = new AcknowledgementSummary();
    private final RelayResponseCache responseCache = new RelayResponseCache();
    private final LogFollower follower;
    private final RelayServer server;

    /**
     * The state of a relay and its counters since its start.
     *
     * @param relay the relay's name
     * @param lagMillis the time since the log confirmed the version as the newest
     * @param connections the open connections, including those that request the status
     * @param answers the responses sent
     * @param fullStateAnswers the updates that were serialized with a full state
     * @param rejectedConnections the connections rejected because of the limit
     */
    public record Status(
            @JsonProperty(required = true) String relay,
            @JsonProperty(required = true) long version,
            @JsonProperty(required = true) String digest,
            @JsonProperty(required = true) long lagMillis,
            @JsonProperty(required = true) int connections,
            @JsonProperty(required = true) long answers,
            @JsonProperty(value = "bases", required = true) long fullStateAnswers,

            @JsonProperty(value = "refused", required = true)
            long rejectedConnections,

            @JsonProperty(required = true) long bytesIn,
            @JsonProperty(required = true) long bytesOut) {}

    /**
     * Starts a relay.
     *
     * @param address the address that routers connect to
     * @param leaseServers the addresses of the lease servers, which replicate the log
     * @param folder the folder in which the state is stored, or null to store nothing
     * @param maxRouters the limit of the connections
     * @throws CorruptStateException if the stored state fails its checks
     * @throws IOException if the address is in use or the folder can't be used
     */
    public Relay(
            String name, InetSocketAddress address, List<InetSocketAddress> leaseServers, Path folder, int maxRouters)
            throws IOException {
        this.name = name;
        StateStore store = new StateStore(folder);
        versions.publish(VersionHistory.of(store.stored().state()));
        follower = new LogFollower(name, leaseServers, versions, acknowledgements, store);
        try {
            server = new RelayServer(address, maxRouters, this::respond);
        } catch (IOException e) {
            store.close();
            throw e;
        }
        Thread thread = new Thread(null, follower, "follower", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        LOG.info(
                "relay {} listens on {} for up to {} routers, starting from version {}",
                name,
                server.address(),
                maxRouters,
                store.stored().state().version());
    }

    /** Returns the address that routers connect to. */
    public InetSocketAddress address() {
        return server.address();
    }

    private byte[] respond(String path, QueryString query) throws IOException, InterruptedException {
        return switch (path) {
            case FeedApi.RELAY_STATUS -> serialize(status());
            case FeedApi.FEED -> poll(query);
            default -> throw new InvalidMessageException("no such path");
        };
    }

    private Status status() {
        VersionedState newest = versions.current().newest();
        return new Status(
                name,
                newest.version(),
                newest.digest(),
                follower.lagMillis(),
                server.connectionCount(),
                server.responses(),
                responseCache.fullStateResponses(),
                server.rejectedConnections(),
                server.bytesIn(),
                server.bytesOut());
    }

    private byte[] poll(QueryString query) throws InvalidMessageException, InterruptedException {
        String router = query.text(FeedApi.ROUTER_NAME);
        if (!Proposal.isValidName(router)) {
            throw new InvalidMessageException("name is none");
        }
        long sinceVersion = query.number(FeedApi.SINCE_VERSION, Long.MAX_VALUE);
        acknowledgements.record(
                new Acknowledgement(
                        router,
                        query.number(FeedApi.INCARNATION, Long.MAX_VALUE),
                        query.number(FeedApi.APPLIED_VERSION, Long.MAX_VALUE),
                        query.number(FeedApi.REJECTED_VERSION, Long.MAX_VALUE),
                        query.isSet(FeedApi.COUNTABLE)),
                System.nanoTime());
        long waitMillis = query.number(FeedApi.WAIT_MILLIS, MAX_WAIT_MILLIS);
        // A router fails over from a stale relay, which a wait would delay.
        boolean mayWait = follower.lagMillis() <= Subscriber.STALE_LAG_MILLIS || query.isSet(FeedApi.ACCEPTS_STALE);
        VersionHistory history = versions.awaitNewer(sinceVersion, mayWait ? waitMillis : 0);
        return update(history, sinceVersion, query.isSet(FeedApi.FULL_STATE));
    }

    private byte[] update(VersionHistory history, long sinceVersion, boolean fullState) {
        long lagMillis = follower.lagMillis();
        if (fullState || sinceVersion >= history.newest().version() || lagMillis > LogFollower.FRESH_LAG_MILLIS) {
            return serialize(history.updateSince(sinceVersion, fullState).withLag(lagMillis));
        }
        return responseCache.get(history, sinceVersion);
    }

    private static byte[] serialize(Object value) {
        return FeedJson.text(value).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        follower.close();
        server.close();
    }
}
