package beaconladder.feed;

import beaconladder.discovery.HttpFetcher;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A relay's task that replicates the log by long polls to the lease servers, one after the other until the leader
 * responds. Each poll carries a summary of the acknowledgements of the relay's routers.
 */
final class LogFollower extends PollLoop {
    private static final Logger LOG = LoggerFactory.getLogger(LogFollower.class);
    /** The longest time that the leader may delay a response; without changes a relay's state is at most this old. */
    static final int WAIT_MILLIS = 500;
    /** The time for a response beyond the wait, after which the next lease server is polled. */
    private static final int RESPONSE_SLACK_MILLIS = 500;
    /** The lag up to which a state is fresh: confirmed by the last poll, while the next one may be in progress. */
    static final long FRESH_LAG_MILLIS = WAIT_MILLIS + 100;
    /** The mean pause after a round in which no lease server was the leader. */
    private static final int ROUND_PAUSE_MILLIS = 100;
    /**
     * The first interval between batches of changes. A single change is forwarded at once; during a burst the interval
     * grows to {@link #MAX_BATCH_INTERVAL_MILLIS}, so that a burst costs each router a few responses and not one for
     * each change.
     */
    private static final int FIRST_BATCH_INTERVAL_MILLIS = 100;

    private static final int MAX_BATCH_INTERVAL_MILLIS = 500;
    /** The lag of a relay that has never reached the log: about thirty years. */
    private static final long UNKNOWN_LAG_MILLIS = 1_000_000_000_000L;

    private final String name;
    private final List<HttpFetcher> leaseServers;
    private final VersionNotifier versions;
    private final AcknowledgementSummary acknowledgements;
    private final StateStore store;
    private final SplittableRandom random = new SplittableRandom();
    private final LastConfirmation lastConfirmation = new LastConfirmation();
    private int currentServer;
    private int consecutiveFailures;
    private int batchIntervalMillis;
    private boolean requestFullState;
    private boolean isDisconnected;

    LogFollower(
            String name,
            List<InetSocketAddress> leaseServers,
            VersionNotifier versions,
            AcknowledgementSummary acknowledgements,
            StateStore store) {
        this.name = name;
        this.leaseServers = leaseServers.stream().map(HttpFetcher::new).toList();
        this.versions = versions;
        this.acknowledgements = acknowledgements;
        this.store = store;
        this.currentServer = Math.floorMod(name.hashCode(), leaseServers.size());
    }

    /** Returns the time in milliseconds since the log's leader confirmed that this relay's version is the newest. */
    long lagMillis() {
        return lastConfirmation.isKnown() ? Math.max(0, lastConfirmation.ageNanos()) / 1_000_000 : UNKNOWN_LAG_MILLIS;
    }

    @Override
    void poll() throws IOException {
        boolean hasNewerVersion = replicate();
        consecutiveFailures = 0;
        if (isDisconnected) {
            LOG.info(
                    "relay {} follows the log again from version {}",
                    name,
                    versions.current().newest().version());
            isDisconnected = false;
        }
        if (hasNewerVersion) {
            batchIntervalMillis = Math.min(
                    MAX_BATCH_INTERVAL_MILLIS,
                    batchIntervalMillis == 0 ? FIRST_BATCH_INTERVAL_MILLIS : 2 * batchIntervalMillis);
        } else {
            batchIntervalMillis = 0;
        }
        pause(batchIntervalMillis);
    }

    @Override
    void onFailure(Exception cause) {
        currentServer = (currentServer + 1) % leaseServers.size();
        if (++consecutiveFailures % leaseServers.size() == 0) {
            pause(ROUND_PAUSE_MILLIS / 2 + random.nextInt(ROUND_PAUSE_MILLIS));
        }
        if (!isDisconnected && lagMillis() > Subscriber.STALE_LAG_MILLIS) {
            LOG.warn("relay {} can't reach the log's leader: {}", name, cause.getMessage());
            isDisconnected = true;
            // Responds to waiting polls with the present lag, so that their routers can fail over.
            versions.wakeAll();
        }
    }

    /** Polls the current lease server once; returns whether there was a newer version. */
    private boolean replicate() throws IOException {
        VersionHistory previous = versions.current();
        String response = leaseServers
                .get(currentServer)
                .get(pollPath(previous.newest().version()), WAIT_MILLIS + RESPONSE_SLACK_MILLIS, RESPONSE_SLACK_MILLIS);
        Update update = FeedJson.read(response, Update.class);
        VersionHistory next = merge(previous, update);
        boolean hasNewerVersion = next.newest().version() > previous.newest().version();
        if (hasNewerVersion) {
            store.save(next.newest(), System.currentTimeMillis());
        }
        // Before the version is published: the polls that this wakes must not report the old lag.
        lastConfirmation.set(System.nanoTime());
        if (hasNewerVersion) {
            versions.publish(next);
        }
        return hasNewerVersion;
    }

    private String pollPath(long heldVersion) {
        RelayReport report = acknowledgements.report(heldVersion, lagMillis(), System.nanoTime());
        return FeedApi.FEED + "?" + FeedApi.SINCE_VERSION + "=" + heldVersion
                + FeedApi.parameter(FeedApi.WAIT_MILLIS, WAIT_MILLIS)
                + FeedApi.flag(FeedApi.FULL_STATE, requestFullState)
                + FeedApi.parameter(FeedApi.RELAY_NAME, name)
                + FeedApi.parameter(FeedApi.REPORT, URLEncoder.encode(FeedJson.text(report), StandardCharsets.UTF_8));
    }

    private VersionHistory merge(VersionHistory previous, Update update) throws InvalidStateException {
        VersionHistory next;
        try {
            next = previous.merge(update);
            requestFullState = false;
        } catch (InvalidStateException e) {
            requestFullState = true;
            LOG.warn("relay {}: invalid update from a lease server: {}", name, e.getMessage());
            throw e;
        }
        VersionedState newest = next.newest();
        if (newest.version() != update.version() || !newest.digest().equals(update.digest())) {
            throw new InvalidStateException("the log is at version " + update.version() + " with digest "
                    + update.digest() + ", this relay holds " + newest.version() + " with " + newest.digest());
        }
        return next;
    }

    @Override
    void releaseResources() {
        store.close();
    }

    @Override
    void closeConnections() {
        leaseServers.forEach(HttpFetcher::close);
    }
}
