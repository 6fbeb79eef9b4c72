package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The response to a poll: the full state or the changes that bring the client to the newest version.
 *
 * @param version the newest version that the sender holds
 * @param digest the digest of that version
 * @param lagMillis the time since the log confirmed to the sender that this version is the newest; 0 from the log's
 *     leader
 * @param base the full newest state, or null
 * @param changes the changes from the client's version to the newest one; empty if there is a base
 */
public record Update(
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) String digest,
        @JsonProperty(required = true) long lagMillis,
        VersionedState base,
        @JsonProperty(required = true) List<Change> changes) {
    /** Copies the list so that the update is immutable. */
    public Update {
        changes = List.copyOf(changes);
    }

    /** Creates an update for a client that holds the newest version. */
    static Update none(VersionedState newest) {
        return new Update(newest.version(), newest.digest(), 0, null, List.of());
    }

    /** Creates an update with the full newest state. */
    static Update full(VersionedState newest) {
        return new Update(newest.version(), newest.digest(), 0, newest, List.of());
    }

    /** Creates an update with the changes that lead to the newest state. */
    static Update incremental(VersionedState newest, List<Change> changes) {
        return new Update(newest.version(), newest.digest(), 0, null, changes);
    }

    /** Returns this update with the lag of its sender. */
    Update withLag(long millis) {
        return new Update(version, digest, millis, base, changes);
    }
}
