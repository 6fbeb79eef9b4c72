package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A relay's summary of its routers for the log's leader. Its size does not depend on the number of routers.
 *
 * @param version the newest version that the relay holds
 * @param lagMillis the time since the log confirmed that version as the newest
 * @param counts the routers by the newest versions that they applied or rejected
 * @param older the number of routers that have applied an older version than those in the counts
 * @param silent the number of routers that polled within the last minute and no longer do; some may poll another relay
 */
public record RelayReport(
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) long lagMillis,
        @JsonProperty(required = true) List<Count> counts,
        @JsonProperty(required = true) int older,
        @JsonProperty(required = true) int silent) {
    /** The limit of the counts that is accepted; a relay reports fewer. */
    private static final int MAX_COUNTS = 16;

    /**
     * The routers that applied or rejected one version.
     *
     * @param applied the number of routers that have applied it
     * @param rejected the number of routers that rejected it
     */
    public record Count(
            @JsonProperty(required = true) long version,
            @JsonProperty(required = true) int applied,

            @JsonProperty(value = "refused", required = true)
            int rejected) {}

    /** Copies the list so that the report is immutable. */
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
