package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The relays' sums at the log's leader; nothing of it is in the log. Times are nanoseconds of one clock. */
public final class RelayReports {
    /** Eight machines are set aside; a name that is made up again and again is to fill nothing. */
    private static final int MOST = 64;

    private record Entry(RelayReport report, long at) {}

    /** A relay as the leader sees it. */
    public record ReceivedReport(
            @JsonProperty(required = true) String relay,
            @JsonProperty(required = true) long agoMillis,
            @JsonProperty(required = true) RelayReport report) {}

    /** The whole fleet in a few numbers. */
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

    private final Map<String, Entry> entries = new TreeMap<>();

    /** A relay's newest sums. */
    synchronized void heard(String relay, RelayReport report, long now) {
        entries.values().removeIf(each -> now - each.at() > AcknowledgementSummary.REPORTED);
        if (entries.containsKey(relay) || entries.size() < MOST) {
            entries.put(relay, new Entry(report, now));
        }
    }

    /** All of them together, as of now. */
    synchronized FleetStatus sum(VersionedState newest, long now) {
        entries.values().removeIf(each -> now - each.at() > AcknowledgementSummary.REPORTED);
        TreeMap<Long, int[]> counts = new TreeMap<>(Comparator.reverseOrder());
        int older = 0;
        int silent = 0;
        List<ReceivedReport> relays = new ArrayList<>();
        for (Map.Entry<String, Entry> each : entries.entrySet()) {
            RelayReport report = each.getValue().report();
            for (RelayReport.Count count : report.counts()) {
                int[] sums = counts.computeIfAbsent(count.version(), v -> new int[2]);
                sums[0] += count.applied();
                sums[1] += count.rejected();
            }
            older += report.older();
            silent += report.silent();
            relays.add(new ReceivedReport(each.getKey(), (now - each.getValue().at()) / 1_000_000, report));
        }
        List<RelayReport.Count> all = counts.entrySet().stream()
                .map(each -> new RelayReport.Count(each.getKey(), each.getValue()[0], each.getValue()[1]))
                .toList();
        return new FleetStatus(
                newest.version(),
                newest.digest(),
                newest.entries().size(),
                newest.characterCount(),
                all,
                older,
                silent,
                relays);
    }
}
