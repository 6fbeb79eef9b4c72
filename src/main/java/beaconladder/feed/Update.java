package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * What one that follows is told.
 *
 * @param version the newest one that the teller has
 * @param digest of that version
 * @param lagMillis how long ago the teller knew from the log that it was the newest; 0 at the log's leader
 * @param base the newest state whole, or null
 * @param changes from the asker's version to the newest one, where there is no base
 */
public record Update(
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) String digest,
        @JsonProperty(required = true) long lagMillis,
        VersionedState base,
        @JsonProperty(required = true) List<Change> changes) {
    /** Copies, so that nobody changes it later. */
    public Update {
        changes = List.copyOf(changes);
    }

    Update lagging(long millis) {
        return new Update(version, digest, millis, base, changes);
    }
}
