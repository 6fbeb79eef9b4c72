package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What the log did with a proposal.
 *
 * @param version the newest one after it
 * @param digest of that version
 */
public record CommitResult(
        @JsonProperty(required = true) Outcome outcome,
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) String digest) {
    /** What it did. */
    public enum Outcome {
        /** It is the newest version, or was the one after the stated version already: asked twice. */
        @JsonProperty("WRITTEN")
        COMMITTED,
        /** It was made against another version than the newest. */
        @JsonProperty("OUT_OF_TURN")
        VERSION_CONFLICT,
        /** With it, all would be larger than the bound. */
        @JsonProperty("TOO_LARGE")
        TOO_LARGE
    }
}
