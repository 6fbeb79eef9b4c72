package beaconladder.lease;

/**
 * What a shared resource remembers of a task, so that it can reject an act that arrives late: the holder may have been
 * paused between its check of the clock and the act, or the network may have delayed it. Tokens are compared only with
 * what the resource has seen, without a clock; the deadline is a second barrier, for late acts that arrive before any
 * process with a higher token has acted.
 *
 * @param highestToken the highest token seen, or 0
 */
public record FencingGuard(long highestToken) {
    /** What becomes of an act. */
    public enum Decision {
        /** It may be carried out. */
        ADMITTED,
        /** An act with a higher token has been here. */
        STALE_TOKEN,
        /** Its holder's deadline has passed by this resource's clock. */
        EXPIRED
    }

    /** The state after an act, and the decision on it. */
    public record Admission(FencingGuard next, Decision decision) {}

    /** No act seen yet. */
    public static FencingGuard initial() {
        return new FencingGuard(0);
    }

    /**
     * Decides on an act.
     *
     * @param token that the act carries
     * @param deadlineNanos until when its holder may act
     * @param nowNanos by this resource's clock
     */
    public Admission admit(long token, long deadlineNanos, long nowNanos) {
        if (token < highestToken) {
            return new Admission(this, Decision.STALE_TOKEN);
        }
        return new Admission(new FencingGuard(token), nowNanos >= deadlineNanos ? Decision.EXPIRED : Decision.ADMITTED);
    }
}
