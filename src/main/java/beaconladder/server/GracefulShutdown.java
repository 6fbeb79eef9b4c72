package beaconladder.server;

/**
 * The deadlines of a router's graceful shutdown. During the notice period endpoint lists and connection poolers may
 * still direct clients to this router, so everything is served as before. Then each connection is read once more: what
 * that read finds is completed, what arrives later is not served.
 *
 * @param requestedNanos when the shutdown was requested, in Unix nanoseconds of the dispatcher's clock
 * @param maxRequestNanos the longest time budget of a request
 */
record GracefulShutdown(long requestedNanos, long maxRequestNanos) {
    /** The notice period: the protocol's upper bound of the time until connections are directed elsewhere. */
    static final long NOTICE_NANOS = 700_000_000L;
    /**
     * The time from the end of the notice period until the process may be killed is the longest deadline, and this
     * where that is longer.
     */
    private static final long MAX_KILL_DELAY_NANOS = 3_000_000_000L;
    /** Margin for a signal that is handled late on a fraction of a core, and for sending the last answers. */
    private static final long SLACK_NANOS = 200_000_000L;

    /** Returns when the last read of each connection begins; later only messages begun by then are completed. */
    long readDeadlineNanos() {
        return requestedNanos + NOTICE_NANOS;
    }

    /**
     * Returns when every request that begins after the last read must have its answer, as the process may be killed
     * soon afterwards.
     */
    long endNanos() {
        return readDeadlineNanos() + Math.max(0, Math.min(maxRequestNanos, MAX_KILL_DELAY_NANOS) - SLACK_NANOS);
    }

    /** Returns when the process ends by itself, if it has not been killed: all requests that were read have expired. */
    long exitNanos() {
        return readDeadlineNanos() + Math.max(maxRequestNanos, MAX_KILL_DELAY_NANOS) - SLACK_NANOS;
    }

    /**
     * Returns the expiry of a request that begins at the given time, or that time itself if the request must not begin.
     * The budget of a pipelined query starts with the answer before it, so it may reach past the time of the kill. A
     * read then gets the remaining time. A write gets its full budget or none, because a write that is cut short may
     * have run without an answer.
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
