package beaconladder.server;

/**
 * The deadlines of a router's graceful shutdown. Until the notice has passed, while endpoint lists and connection
 * poolers still route clients here, everything is served as before. Then each connection is read once more: what that
 * read finds is completed, what arrives later stays unread.
 *
 * @param requestedNanos when the shutdown was requested, in Unix nanoseconds of the dispatcher's clock
 * @param maxRequestNanos the longest that a request may be in flight
 */
record GracefulShutdown(long requestedNanos, long maxRequestNanos) {
    /** Upper bound, by the protocol, of the time until those who hand out connections know of a shutdown. */
    static final long NOTICE_NANOS = 700_000_000L;
    /** The protocol counts the longest deadline as no shorter than this when it states when a kill may come. */
    private static final long MIN_KILL_DELAY_NANOS = 3_000_000_000L;
    /** Margin: a signal arrives late on a fraction of a core, and an answer has to leave the machine. */
    private static final long SLACK_NANOS = 200_000_000L;

    /** When the last read of each connection begins; afterwards only the rest of a message that had begun is read. */
    long readDeadlineNanos() {
        return requestedNanos + NOTICE_NANOS;
    }

    /** When every request must have its answer: the process may be killed soon after. */
    long endNanos() {
        return readDeadlineNanos() + Math.max(maxRequestNanos, MIN_KILL_DELAY_NANOS) - SLACK_NANOS;
    }

    /**
     * The expiry of a request that begins at the given time; equal to that time where it may not begin. The time of a
     * pipelined query starts with the answer before it, so its budget may reach past the kill: a read is given what is
     * left, while a write that is cut short might have run without an answer, so it gets its full budget or none.
     */
    long expiryNanos(long beginNanos, long budgetNanos, boolean write) {
        boolean fullBudget = beginNanos <= readDeadlineNanos() && budgetNanos <= maxRequestNanos
                || beginNanos + budgetNanos <= endNanos();
        if (fullBudget) {
            return beginNanos + budgetNanos;
        }
        return write ? beginNanos : endNanos();
    }
}
