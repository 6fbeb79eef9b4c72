package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The log's response to a proposal.
 *
 * @param version the newest one after it
 * @param digest of that version
 */
public record CommitResult(
        @JsonProperty(required = true) Outcome outcome,
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) String digest) {
    /** Whether the change was committed, or why not. */
    public enum Outcome {
        /** The change is the newest version, or a retry found it committed already. */
        @JsonProperty("WRITTEN")
        COMMITTED,
        /** The proposal is based on another version than the newest. */
        @JsonProperty("OUT_OF_TURN")
        VERSION_CONFLICT,
        /** The state would exceed its bounds with it. */
        @JsonProperty("TOO_LARGE")
        TOO_LARGE
    }
}
