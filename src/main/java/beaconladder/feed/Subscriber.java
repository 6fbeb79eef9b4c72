package beaconladder.feed;

import beaconladder.discovery.HttpFetcher;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A router's client of the feed: one task that polls one relay, applies or rejects each new version, and acknowledges
 * it with the next poll. It never polls the log: if four thousand routers lost all relays, they would overload the
 * lease servers, on which leases depend. While no relay responds, the applied version remains; {@link #ageMillis} is
 * the time since its last confirmation.
 */
public final class Subscriber extends PollLoop {
    private static final Logger LOG = LoggerFactory.getLogger(Subscriber.class);
    /** The longest time that a relay may delay a response, and so the time in which its failure goes undetected. */
    static final int WAIT_MILLIS = 1_000;
    /** The time for a response beyond the wait; together they are two thirds of the 3 s that a change may take. */
    private static final int RESPONSE_SLACK_MILLIS = 800;
    /**
     * The limit of the factor by which the slack grows with each round in which no relay responded in time: otherwise
     * requests to overloaded relays would be retried without any response ever being read.
     */
    private static final int MAX_SLACK_FACTOR = 4;
    /** The number of responses in time after which the factor decreases by one. */
    private static final int RESPONSES_PER_DECREASE = 16;
    /** The lag above which a relay is stale: two timeouts of its own polls, and an election. */
    static final long STALE_LAG_MILLIS = 2_000;
    /** The limit of the backoff after no relay responded; full jitter spreads the polls of a recovering region. */
    private static final int MAX_BACKOFF_MILLIS = 2_000;
    /** The pause after a failed write to the disk. */
    private static final int DISK_RETRY_MILLIS = 500;

    private final RelaySelector relaySelector;
    private final String name;
    private final long incarnation;
    private final UpdateStrategy strategy;
    private final VersionInstaller installer;
    private final SplittableRandom random;
    private final LastConfirmation lastConfirmation = new LastConfirmation();
    private boolean requestFullState;
    private int slackFactor = 1;
    private int responsesInTime;

    /**
     * Opens the folder. Polls start only when the task is run.
     *
     * @param incarnation a number that is larger than at any earlier start of this router
     * @param relays the addresses by name
     * @param folder the folder in which the state is stored; if null, a start while no relay responds applies nothing
     * @throws CorruptStateException if the stored state fails its checks
     * @throws IOException if the folder can't be used
     */
    public Subscriber(
            String name, long incarnation, Map<String, InetSocketAddress> relays, Path folder, Applier applier)
            throws IOException {
        this(name, incarnation, relays, folder, applier, UpdateStrategy.STRICT);
    }

    Subscriber(
            String name,
            long incarnation,
            Map<String, InetSocketAddress> relays,
            Path folder,
            Applier applier,
            UpdateStrategy strategy)
            throws IOException {
        this.name = name;
        this.incarnation = incarnation;
        this.strategy = strategy;
        installer = new VersionInstaller(name, folder, applier);
        random = new SplittableRandom(incarnation ^ name.hashCode());
        this.relaySelector = new RelaySelector(name, relays, random);
    }

    /** Returns the version that is applied; 0 for none. */
    public long appliedVersion() {
        return installer.appliedVersion();
    }

    /** Returns the stored state, which a restarted router starts with; the empty state on the first start. */
    public VersionedState storedState() {
        return installer.stored();
    }

    /** Returns the time since the held version was last confirmed as the newest; Long.MAX_VALUE if it never was. */
    public long ageMillis() {
        return lastConfirmation.isKnown() ? lastConfirmation.ageNanos() / 1_000_000 : Long.MAX_VALUE;
    }

    @Override
    void poll() throws IOException {
        installer.retryRestore();
        int waitMillis = relaySelector.isProbing() ? 0 : WAIT_MILLIS;
        HttpFetcher relay = relaySelector.connection();
        int slackMillis = slackFactor * RESPONSE_SLACK_MILLIS;
        String response = relay.get(pollPath(waitMillis), waitMillis + slackMillis, slackMillis);
        if (slackFactor > 1 && ++responsesInTime == RESPONSES_PER_DECREASE) {
            slackFactor--;
            responsesInTime = 0;
        }
        if (!isClosed()) {
            process(FeedJson.read(response, Update.class));
        }
    }

    private String pollPath(int waitMillis) {
        return FeedApi.FEED + "?" + FeedApi.SINCE_VERSION + "=" + strategy.requestedVersion(installer.held())
                + FeedApi.parameter(FeedApi.WAIT_MILLIS, waitMillis)
                + FeedApi.parameter(FeedApi.ROUTER_NAME, name)
                + FeedApi.parameter(FeedApi.INCARNATION, incarnation)
                + FeedApi.parameter(FeedApi.APPLIED_VERSION, installer.appliedVersion())
                + FeedApi.parameter(FeedApi.REJECTED_VERSION, installer.rejectedVersion())
                + FeedApi.flag(FeedApi.COUNTABLE, relaySelector.isCountable())
                + FeedApi.flag(FeedApi.ACCEPTS_STALE, relaySelector.isSettledOnStale())
                + FeedApi.flag(FeedApi.FULL_STATE, requestFullState);
    }

    private void process(Update update) throws InvalidStateException {
        long versionBefore = installer.held().version();
        VersionedState next;
        try {
            next = strategy.merge(installer.held(), update);
        } catch (InvalidStateException e) {
            onInvalidUpdate(e);
            return;
        }
        if (!installer.install(next)) {
            pause(DISK_RETRY_MILLIS);
            return;
        }
        requestFullState = false;
        boolean isCurrent = update.version() >= versionBefore;
        if (isCurrent) {
            lastConfirmation.advanceTo(System.nanoTime() - Math.max(0, update.lagMillis()) * 1_000_000);
        }
        relaySelector.onResponse(update.lagMillis() <= STALE_LAG_MILLIS && isCurrent);
    }

    /** Requests the full state once; if that is invalid as well, the relay counts as failed. */
    private void onInvalidUpdate(InvalidStateException cause) throws InvalidStateException {
        boolean wasFullState = requestFullState;
        requestFullState = true;
        LOG.warn("{}: invalid update from relay {}: {}", name, relaySelector.currentRelay(), cause.getMessage());
        if (wasFullState) {
            throw cause;
        }
    }

    @Override
    void onFailure(Exception cause) {
        if (!relaySelector.onFailure() || isClosed()) {
            return;
        }
        slackFactor = Math.min(MAX_SLACK_FACTOR, slackFactor + 1);
        responsesInTime = 0;
        installer.installStored(lastConfirmation);
        LOG.warn(
                "{}: no relay responds ({}); version {} remains applied, confirmed {} ms ago",
                name,
                cause,
                appliedVersion(),
                ageMillis());
        pause(random.nextInt(MAX_BACKOFF_MILLIS));
    }

    @Override
    void releaseResources() {
        relaySelector.close();
        installer.close();
    }

    @Override
    void closeConnections() {
        relaySelector.close();
    }
}
