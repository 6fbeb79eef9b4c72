package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A relay's summary for the log's leader; of the same size for ten routers and for a thousand.
 *
 * @param version the newest one that the relay holds
 * @param lagMillis how long ago the log confirmed it as the newest
 * @param counts the newest versions that routers applied or rejected
 * @param older routers with an older version in force
 * @param silent routers that polled within the last minute and no longer do; some may poll another relay
 */
public record RelayReport(
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) long lagMillis,
        @JsonProperty(required = true) List<Count> counts,
        @JsonProperty(required = true) int older,
        @JsonProperty(required = true) int silent) {
    /** More than a relay reports. */
    private static final int MAX_COUNTS = 16;

    /**
     * Routers by one version.
     *
     * @param applied how many have it in force
     * @param rejected how many rejected it
     */
    public record Count(
            @JsonProperty(required = true) long version,
            @JsonProperty(required = true) int applied,

            @JsonProperty(value = "refused", required = true)
            int rejected) {}

    /** Copies the list, so that the report is immutable. */
    public RelayReport {
        counts = List.copyOf(counts);
    }

    RelayReport validated() throws InvalidMessageException {
        if (version < 0
                || older < 0
                || silent < 0
                || counts.size() > MAX_COUNTS
                || counts.stream().anyMatch(count -> count.applied() < 0 || count.rejected() < 0)) {
            throw new InvalidMessageException("a report that is not whole");
        }
        return this;
    }
}
