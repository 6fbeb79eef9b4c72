package beaconladder.lease;

/**
 * A shared resource's state for one task, with which it rejects operations that arrive late: the holder may have been
 * paused between its check of the clock and the operation, or the network may have delayed it. A token is compared only
 * with the highest one that the resource has received, without a clock. The deadline is a second check, for late
 * operations that arrive before any operation with a higher token.
 *
 * @param highestToken the highest token received; 0 before the first
 */
public record FencingGuard(long highestToken) {
    /** The decision on an operation. */
    public enum Decision {
        /** The operation may be executed. */
        ADMITTED,
        /** An operation with a higher token arrived before. */
        STALE_TOKEN,
        /** The holder's deadline has passed by this resource's clock. */
        EXPIRED
    }

    /** The state after an operation, and the decision on it. */
    public record Admission(FencingGuard next, Decision decision) {}

    /** Returns the state of a resource that has received no operation. */
    public static FencingGuard initial() {
        return new FencingGuard(0);
    }

    /**
     * Decides whether to execute an operation.
     *
     * @param token the token of the operation
     * @param deadlineNanos when the holder's permit ends, in Unix nanoseconds
     * @param nowNanos the time by this resource's clock, in Unix nanoseconds
     */
    public Admission admit(long token, long deadlineNanos, long nowNanos) {
        if (token < highestToken) {
            return new Admission(this, Decision.STALE_TOKEN);
        }
        return new Admission(new FencingGuard(token), nowNanos >= deadlineNanos ? Decision.EXPIRED : Decision.ADMITTED);
    }
}
