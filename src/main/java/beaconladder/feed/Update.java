package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The response to a poll: what the client lacks up to the newest version.
 *
 * @param version the newest one that the sender holds
 * @param digest of that version
 * @param lagMillis how long ago the log confirmed it to the sender as the newest; 0 at the log's leader
 * @param base the newest state in full, or null
 * @param changes from the client's version to the newest one; empty if there is a base
 */
public record Update(
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) String digest,
        @JsonProperty(required = true) long lagMillis,
        VersionedState base,
        @JsonProperty(required = true) List<Change> changes) {
    /** Copies the list, so that the update is immutable. */
    public Update {
        changes = List.copyOf(changes);
    }

    /** The client holds the newest version. */
    static Update none(VersionedState newest) {
        return new Update(newest.version(), newest.digest(), 0, null, List.of());
    }

    /** The newest state in full. */
    static Update full(VersionedState newest) {
        return new Update(newest.version(), newest.digest(), 0, newest, List.of());
    }

    /** Changes that lead to the newest state. */
    static Update incremental(VersionedState newest, List<Change> changes) {
        return new Update(newest.version(), newest.digest(), 0, null, changes);
    }

    /** The same, from a sender whose knowledge is so old. */
    Update withLag(long millis) {
        return new Update(version, digest, millis, base, changes);
    }
}
