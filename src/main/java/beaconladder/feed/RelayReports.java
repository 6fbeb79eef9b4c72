package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The latest report of each relay, held by the log's leader in memory and not in the log. All times are nanoseconds of
 * one clock. Thread-safe.
 */
public final class RelayReports {
    /** The limit of the relays, of which eight are planned: false names in reports can't exhaust the memory. */
    private static final int MAX_RELAYS = 64;

    private record Entry(RelayReport report, long receivedAtNanos) {}

    /** The latest report of a relay and the time since it was received. */
    public record ReceivedReport(
            @JsonProperty(required = true) String relay,

            @JsonProperty(value = "agoMillis", required = true)
            long ageMillis,

            @JsonProperty(required = true) RelayReport report) {}

    /**
     * The summary of the complete fleet.
     *
     * @param version the newest version of the log
     * @param digest the digest of that version
     * @param entryCount the number of its documents
     * @param characterCount the number of characters of its names and texts
     * @param counts the routers by version that they applied or rejected, newest version first
     * @param older the number of routers that have applied an older version than those in the relays' counts
     * @param silent the number of routers that polled within the last minute and no longer do; an upper bound
     * @param relays the latest reports, by name of the relay
     */
    public record FleetStatus(
            @JsonProperty(required = true) long version,
            @JsonProperty(required = true) String digest,

            @JsonProperty(value = "entries", required = true)
            int entryCount,

            @JsonProperty(value = "size", required = true) int characterCount,
            @JsonProperty(required = true) List<RelayReport.Count> counts,
            @JsonProperty(required = true) int older,
            @JsonProperty(required = true) int silent,
            @JsonProperty(required = true) List<ReceivedReport> relays) {}

    private final Map<String, Entry> latest = new TreeMap<>();

    /**
     * Records a relay's report in place of its previous one; ignored beyond the limit of relays. A report under an
     * older version than the previous one arrived late, as a relay never returns to an older version; it is ignored,
     * too.
     */
    synchronized void record(String relay, RelayReport report, long nowNanos) {
        removeExpired(nowNanos);
        Entry previous = latest.get(relay);
        if (previous != null && report.version() < previous.report().version()) {
            return;
        }
        if (latest.containsKey(relay) || latest.size() < MAX_RELAYS) {
            latest.put(relay, new Entry(report, nowNanos));
        }
    }

    /** Summarizes the reports that have not expired. */
    synchronized FleetStatus summarize(VersionedState newest, long nowNanos) {
        removeExpired(nowNanos);
        VersionCounts counts = new VersionCounts();
        int older = 0;
        int silent = 0;
        List<ReceivedReport> relays = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : latest.entrySet()) {
            RelayReport report = entry.getValue().report();
            report.counts().forEach(count -> counts.add(count.version(), count.applied(), count.rejected()));
            older += report.older();
            silent += report.silent();
            long ageNanos = nowNanos - entry.getValue().receivedAtNanos();
            relays.add(new ReceivedReport(entry.getKey(), ageNanos / 1_000_000, report));
        }
        return new FleetStatus(
                newest.version(),
                newest.digest(),
                newest.entries().size(),
                newest.characterCount(),
                counts.newest(Integer.MAX_VALUE),
                older,
                silent,
                relays);
    }

    private void removeExpired(long nowNanos) {
        latest.values()
                .removeIf(entry -> nowNanos - entry.receivedAtNanos() > AcknowledgementSummary.REPORT_EXPIRY_NANOS);
    }
}
