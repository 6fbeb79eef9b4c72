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
 * it with the next poll. It never polls the log: four thousand routers that lost all relays would overload the lease
 * servers, which leases depend on. Meanwhile the applied version remains, and {@link #ageMillis} is its age.
 */
public final class Subscriber extends PollLoop {
    private static final Logger LOG = LoggerFactory.getLogger(Subscriber.class);
    /** How long a relay may delay a response, and so how long its failure goes unnoticed. */
    static final int WAIT_MILLIS = 1_000;
    /** What a response may take beyond that; with the wait, two thirds of the 3 s that a change may take. */
    private static final int SLACK_MILLIS = 800;
    /**
     * The slack is multiplied, by this at most, after each round in which no relay answered in time: requests to
     * overloaded relays would else be repeated without a response ever being read.
     */
    private static final int MAX_SLACK_FACTOR = 4;
    /** After so many responses in time the factor decreases by one. */
    private static final int RESPONSES_PER_STEP = 16;
    /** A relay with a larger lag is stale: two of its own time-outs, and an election. */
    static final long STALE_MILLIS = 2_000;
    /** Bound of the full jitter after no relay answered, so that the routers of a recovering region poll evenly. */
    private static final int BACKOFF_MILLIS = 2_000;
    /** Pause after a write to the disk failed. */
    private static final int DISK_RETRY_MILLIS = 500;

    private final RelaySelector relays;
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
     * Opens the folder; polls only once it is run.
     *
     * @param incarnation larger than at any earlier start of this router
     * @param relays addresses by name
     * @param folder where the state is stored, or null: then a start while no relay answers has nothing to apply
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
        this.relays = new RelaySelector(name, relays, random);
    }

    /** The version in force; 0 for none. */
    public long appliedVersion() {
        return installer.appliedVersion();
    }

    /** What was in force when this router ended, for a start with it; empty at the first start. */
    public VersionedState storedState() {
        return installer.stored();
    }

    /** Milliseconds since the version held was last confirmed as the newest; Long.MAX_VALUE if it never was. */
    public long ageMillis() {
        return lastConfirmation.isKnown() ? lastConfirmation.ageNanos() / 1_000_000 : Long.MAX_VALUE;
    }

    @Override
    void poll() throws IOException {
        installer.retryRestore();
        int waitMillis = relays.isProbing() ? 0 : WAIT_MILLIS;
        HttpFetcher relay = relays.connection();
        int slackMillis = slackFactor * SLACK_MILLIS;
        String response = relay.get(pollPath(waitMillis), waitMillis + slackMillis, slackMillis);
        if (slackFactor > 1 && ++responsesInTime == RESPONSES_PER_STEP) {
            slackFactor--;
            responsesInTime = 0;
        }
        if (!isClosed()) {
            process(FeedJson.read(response, Update.class));
        }
    }

    private String pollPath(int waitMillis) {
        return FeedApi.FEED + "?" + FeedApi.SINCE + "=" + strategy.requestedVersion(installer.held())
                + FeedApi.parameter(FeedApi.WAIT, waitMillis)
                + FeedApi.parameter(FeedApi.ROUTER_NAME, name)
                + FeedApi.parameter(FeedApi.INCARNATION, incarnation)
                + FeedApi.parameter(FeedApi.APPLIED_VERSION, installer.appliedVersion())
                + FeedApi.parameter(FeedApi.REJECTED_VERSION, installer.rejectedVersion())
                + FeedApi.flag(FeedApi.COUNTABLE, relays.isCountable())
                + FeedApi.flag(FeedApi.ACCEPTS_STALE, relays.isSettledOnStale())
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
        boolean current = update.version() >= versionBefore;
        if (current) {
            lastConfirmation.advanceTo(System.nanoTime() - Math.max(0, update.lagMillis()) * 1_000_000);
        }
        relays.onResponse(update.lagMillis() <= STALE_MILLIS && current);
    }

    /** Requests the full state once; if that is invalid too, the relay counts as failed. */
    private void onInvalidUpdate(InvalidStateException cause) throws InvalidStateException {
        boolean wasFullState = requestFullState;
        requestFullState = true;
        LOG.warn("{}: what relay {} told is void: {}", name, relays.currentRelay(), cause.getMessage());
        if (wasFullState) {
            throw cause;
        }
    }

    @Override
    void onFailure(Exception cause) {
        if (!relays.onFailure() || isClosed()) {
            return;
        }
        slackFactor = Math.min(MAX_SLACK_FACTOR, slackFactor + 1);
        responsesInTime = 0;
        installer.installStored(lastConfirmation);
        LOG.warn(
                "{}: no relay answers ({}); version {} stays in force, {} ms old",
                name,
                cause,
                appliedVersion(),
                ageMillis());
        pause(random.nextInt(BACKOFF_MILLIS));
    }

    @Override
    void release() {
        relays.close();
        installer.close();
    }

    @Override
    void closeConnections() {
        relays.close();
    }
}
