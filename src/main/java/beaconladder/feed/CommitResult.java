package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The log's response to a proposal.
 *
 * @param version the newest version after the proposal
 * @param digest the digest of that version
 */
public record CommitResult(
        @JsonProperty(required = true) Outcome outcome,
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) String digest) {
    /** Whether the change was committed, or why it was not. */
    public enum Outcome {
        /** The change was committed, by this proposal or by an earlier try of it. */
        @JsonProperty("WRITTEN")
        COMMITTED,
        /** The proposal is not based on the newest version. */
        @JsonProperty("OUT_OF_TURN")
        VERSION_CONFLICT,
        /** The state after the change would exceed its size limits. */
        @JsonProperty("TOO_LARGE")
        TOO_LARGE
    }
}
