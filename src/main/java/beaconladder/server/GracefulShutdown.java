package beaconladder.server;

/**
 * The planned end of a router. Others learn of it within the notice; until then all goes on. Then one last look is
 * taken at each connection: what it finds is seen through, what crosses the close stays unread.
 *
 * @param told when the end was asked for, in nanoseconds
 * @param longest the longest that a txn may be in hand, in nanoseconds
 */
record GracefulShutdown(long told, long longest) {
    /** Those who hand out connections learn of an end so much later at the most; the protocol's figure. */
    static final long NOTICE_NANOS = 700_000_000L;
    /** The protocol counts the longest deadline as no shorter than this when it says when a kill may come. */
    private static final long LEAST = 3_000_000_000L;
    /** A signal is heard of late on a part of a core, and an answer has to leave the machine. */
    private static final long SLACK = 200_000_000L;

    /** From here on nothing is read but the rest of what had begun to come in. */
    long readDeadlineNanos() {
        return told + NOTICE_NANOS;
    }

    /** What begins later than the notice has its end by then: the process may be killed soon after. */
    long endNanos() {
        return readDeadlineNanos() + Math.max(longest, LEAST) - SLACK;
    }

    /**
     * The expiry of a txn that begins now; none is left where it may not begin. A query written ahead has its time from
     * the answer before it, which may reach past the kill: a read makes do with what is left, a write cut short might
     * have run with nobody told, so it has its whole time or none.
     */
    long expiryNanos(long begins, long budget, boolean write) {
        boolean whole = begins <= readDeadlineNanos() && budget <= longest || begins + budget <= endNanos();
        return whole ? begins + budget : write ? begins : endNanos();
    }
}
