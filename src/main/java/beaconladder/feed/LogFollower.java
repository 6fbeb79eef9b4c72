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
 * A relay's task that replicates the log: long polls to the lease servers, one after the other until the leader
 * responds. Each poll carries the summary of the acknowledgements of the relay's routers.
 */
final class LogFollower extends PollLoop {
    private static final Logger LOG = LoggerFactory.getLogger(LogFollower.class);
    /** How long the leader may delay a response: at rest, a relay's state is at most this old. */
    static final int WAIT_MILLIS = 500;
    /** A leader that takes this much longer may have failed: the next lease server is polled. */
    private static final int SLACK_MILLIS = 500;
    /** Confirmed by the last poll, or one poll ago while another is in progress. */
    static final long FRESH_MILLIS = WAIT_MILLIS + 100;
    /** Mean pause after a round in which no lease server was the leader. */
    private static final int ROUND_MILLIS = 100;
    /**
     * A single change is forwarded at once; while more follow, routers receive them in steps that grow from this to
     * {@link #MAX_STEP_MILLIS}, so that a burst costs each of them a few responses and not one for each change.
     */
    private static final int FIRST_STEP_MILLIS = 100;

    private static final int MAX_STEP_MILLIS = 500;
    /** The lag, in milliseconds, of a relay that never reached the log: about thirty years. */
    private static final long NEVER_MILLIS = 1_000_000_000_000L;

    private final String name;
    private final List<HttpFetcher> leaseServers;
    private final VersionNotifier versions;
    private final AcknowledgementSummary acknowledgements;
    private final StateStore store;
    private final SplittableRandom random = new SplittableRandom();
    private final LastConfirmation lastConfirmation = new LastConfirmation();
    private int currentServer;
    private int failuresInARow;
    private int stepMillis;
    private boolean requestFullState;
    private boolean disconnected;

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

    /** Milliseconds since the log's leader confirmed that this relay's version is the newest. */
    long lagMillis() {
        return lastConfirmation.isKnown() ? Math.max(0, lastConfirmation.ageNanos()) / 1_000_000 : NEVER_MILLIS;
    }

    @Override
    void poll() throws IOException {
        boolean newer = replicate();
        failuresInARow = 0;
        if (disconnected) {
            LOG.info(
                    "relay {} hears from the log again, version {}",
                    name,
                    versions.current().newest().version());
            disconnected = false;
        }
        if (newer) {
            stepMillis = Math.min(MAX_STEP_MILLIS, stepMillis == 0 ? FIRST_STEP_MILLIS : 2 * stepMillis);
        } else {
            stepMillis = 0;
        }
        pause(stepMillis);
    }

    @Override
    void onFailure(Exception cause) {
        currentServer = (currentServer + 1) % leaseServers.size();
        if (++failuresInARow % leaseServers.size() == 0) {
            pause(ROUND_MILLIS / 2 + random.nextInt(ROUND_MILLIS));
        }
        if (!disconnected && lagMillis() > Subscriber.STALE_MILLIS) {
            LOG.warn("relay {} hears nothing from the log: {}", name, cause.getMessage());
            disconnected = true;
            // Polls that wait here are answered with the lag now, so that their routers can fail over.
            versions.wakeAll();
        }
    }

    /** Polls the current lease server once; whether there was a newer version. */
    private boolean replicate() throws IOException {
        VersionHistory before = versions.current();
        String response = leaseServers
                .get(currentServer)
                .get(pollPath(before.newest().version()), WAIT_MILLIS + SLACK_MILLIS, SLACK_MILLIS);
        Update update = FeedJson.read(response, Update.class);
        VersionHistory next = merge(before, update);
        boolean newer = next.newest().version() > before.newest().version();
        if (newer) {
            store.save(next.newest(), System.currentTimeMillis());
        }
        // Before it is published: the polls that this wakes must not report the lag from before.
        lastConfirmation.set(System.nanoTime());
        if (newer) {
            versions.publish(next);
        }
        return newer;
    }

    private String pollPath(long heldVersion) {
        RelayReport report = acknowledgements.report(heldVersion, lagMillis(), System.nanoTime());
        return FeedApi.FEED + "?" + FeedApi.SINCE + "=" + heldVersion
                + FeedApi.parameter(FeedApi.WAIT, WAIT_MILLIS)
                + FeedApi.flag(FeedApi.FULL_STATE, requestFullState)
                + FeedApi.parameter(FeedApi.RELAY_NAME, name)
                + FeedApi.parameter(FeedApi.REPORT, URLEncoder.encode(FeedJson.text(report), StandardCharsets.UTF_8));
    }

    private VersionHistory merge(VersionHistory before, Update update) throws InvalidStateException {
        VersionHistory next;
        try {
            next = before.merge(update);
            requestFullState = false;
        } catch (InvalidStateException e) {
            requestFullState = true;
            LOG.warn("relay {}: what a grantor told is void: {}", name, e.getMessage());
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
    void release() {
        store.close();
    }

    @Override
    void closeConnections() {
        leaseServers.forEach(HttpFetcher::close);
    }
}
