package beaconladder.feed;

import java.util.HashMap;
import java.util.Map;

/**
 * The latest acknowledgement of each router of a relay, summarized for the log's leader without the routers' names. All
 * times are nanoseconds of one clock. Thread-safe.
 *
 * <p>A router that changes relay is never counted twice. A relay counts it for {@link #SILENCE_TIMEOUT_NANOS} after its
 * last acknowledgement, and the leader counts a relay for {@link #REPORT_EXPIRY_NANOS} after its last report. An
 * acknowledgement to another relay, or of another incarnation, counts only {@link #RELAY_CHANGE_NANOS} later, which is
 * more than both together.
 */
final class AcknowledgementSummary {
    /** The time after which a router is silent: three polls without a change. */
    static final long SILENCE_TIMEOUT_NANOS = 3_000_000_000L;
    /** The time after which a relay's report expires: four reports without a change. */
    static final long REPORT_EXPIRY_NANOS = 2_000_000_000L;
    /** The delay before another relay may count a router: both times above and a second for messages in flight. */
    static final long RELAY_CHANGE_NANOS = SILENCE_TIMEOUT_NANOS + REPORT_EXPIRY_NANOS + 1_000_000_000L;
    /** The time after which a silent router is no longer counted: it was replaced or polls another relay. */
    private static final long REMOVAL_NANOS = 60_000_000_000L;
    /** The limit of the routers: a fleet of twice the intended size, all on one relay. */
    private static final int MAX_ROUTERS = 8_192;
    /** The number of versions that are reported individually; older ones are reported as one number. */
    private static final int REPORTED_VERSIONS = 4;

    private record Entry(Acknowledgement acknowledgement, long receivedAtNanos) {}

    private final Map<String, Entry> latest = new HashMap<>();

    /** Records an acknowledgement, unless it is not countable, outdated or beyond the limit of routers. */
    synchronized void record(Acknowledgement acknowledgement, long nowNanos) {
        Entry previous = latest.get(acknowledgement.router());
        boolean outdated = previous != null && acknowledgement.isOlderThan(previous.acknowledgement());
        if (!acknowledgement.countable() || outdated || previous == null && latest.size() >= MAX_ROUTERS) {
            return;
        }
        latest.put(acknowledgement.router(), new Entry(acknowledgement, nowNanos));
    }

    /** Returns a report with the current counts and the relay's own version and lag. */
    synchronized RelayReport report(long version, long lagMillis, long nowNanos) {
        latest.values().removeIf(entry -> nowNanos - entry.receivedAtNanos() > REMOVAL_NANOS);
        VersionCounts counts = new VersionCounts();
        int silent = 0;
        for (Entry entry : latest.values()) {
            if (nowNanos - entry.receivedAtNanos() > SILENCE_TIMEOUT_NANOS) {
                silent++;
                continue;
            }
            Acknowledgement acknowledgement = entry.acknowledgement();
            counts.add(acknowledgement.appliedVersion(), 1, 0);
            if (acknowledgement.rejectedVersion() > acknowledgement.appliedVersion()) {
                counts.add(acknowledgement.rejectedVersion(), 0, 1);
            }
        }
        return new RelayReport(
                version,
                lagMillis,
                counts.newest(REPORTED_VERSIONS),
                counts.countAppliedBeyond(REPORTED_VERSIONS),
                silent);
    }
}
