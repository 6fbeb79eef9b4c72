package beaconladder.feed;

import java.util.HashMap;
import java.util.Map;

/**
 * The latest acknowledgement of each of a relay's routers, by name; summed up for the log's leader, which never learns
 * the names. Times are nanoseconds of one clock. Thread-safe.
 *
 * <p>A router is counted once although it changes relay: a relay counts it for {@link #SILENT_NANOS} after its last
 * acknowledgement, the leader counts a relay for {@link #REPORT_EXPIRY_NANOS} after its last report, and an
 * acknowledgement to another relay, or of another incarnation, counts only {@link #RELOCATION_NANOS} later, which is
 * more than both together.
 */
final class AcknowledgementSummary {
    /** Three polls at rest. */
    static final long SILENT_NANOS = 3_000_000_000L;
    /** Four reports at rest. */
    static final long REPORT_EXPIRY_NANOS = 2_000_000_000L;
    /** Both, and a second for messages in flight. */
    static final long RELOCATION_NANOS = SILENT_NANOS + REPORT_EXPIRY_NANOS + 1_000_000_000L;
    /** A router that was silent for so long is dropped from the silent ones: it is replaced, or at another relay. */
    private static final long FORGET_NANOS = 60_000_000_000L;
    /** Bound on the routers: a fleet of twice the intended size, all at one relay. */
    private static final int MAX_ROUTERS = 8_192;
    /** So many versions are reported one by one; older ones as one number. */
    private static final int REPORTED_VERSIONS = 4;

    private record Entry(Acknowledgement acknowledgement, long receivedAtNanos) {}

    private final Map<String, Entry> latest = new HashMap<>();

    /** Records an acknowledgement; ignored if not countable, of an earlier incarnation, or of one router too many. */
    synchronized void record(Acknowledgement acknowledgement, long nowNanos) {
        Entry previous = latest.get(acknowledgement.router());
        boolean outdated = previous != null && previous.acknowledgement().incarnation() > acknowledgement.incarnation();
        if (!acknowledgement.countable() || outdated || previous == null && latest.size() >= MAX_ROUTERS) {
            return;
        }
        latest.put(acknowledgement.router(), new Entry(acknowledgement, nowNanos));
    }

    /** The sums as of now, with the relay's own version and lag. */
    synchronized RelayReport report(long version, long lagMillis, long nowNanos) {
        latest.values().removeIf(entry -> nowNanos - entry.receivedAtNanos() > FORGET_NANOS);
        VersionCounts counts = new VersionCounts();
        int silent = 0;
        for (Entry entry : latest.values()) {
            if (nowNanos - entry.receivedAtNanos() > SILENT_NANOS) {
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
                version, lagMillis, counts.newest(REPORTED_VERSIONS), counts.appliedBeyond(REPORTED_VERSIONS), silent);
    }
}
