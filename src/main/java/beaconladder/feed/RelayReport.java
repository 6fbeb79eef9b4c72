package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.util.List;

/**
 * A relay's sums for the leader; the same few numbers for ten routers and for a thousand.
 *
 * @param version the newest one that the relay holds
 * @param lagMillis how long ago it knew that from the log
 * @param counts the newest versions in force or refused
 * @param older routers with an older one in force
 * @param silent routers that spoke within the last minute and don't now; some may speak to another relay
 */
public record RelayReport(
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) long lagMillis,
        @JsonProperty(required = true) List<Count> counts,
        @JsonProperty(required = true) int older,
        @JsonProperty(required = true) int silent) {
    /** More than a relay tells. */
    private static final int MOST = 16;

    /** Of one version: with how many it is in force, and how many refused it. */
    public record Count(
            @JsonProperty(required = true) long version,
            @JsonProperty(required = true) int applied,

            @JsonProperty(value = "refused", required = true)
            int rejected) {}

    /** Copies, so that nobody changes it later. */
    public RelayReport {
        counts = List.copyOf(counts);
    }

    RelayReport validated() throws IOException {
        if (version < 0
                || older < 0
                || silent < 0
                || counts.size() > MOST
                || counts.stream().anyMatch(each -> each.applied() < 0 || each.rejected() < 0)) {
            throw new IOException("a report that is not whole");
        }
        return this;
    }
}
