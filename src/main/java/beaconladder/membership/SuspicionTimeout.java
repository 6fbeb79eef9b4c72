package beaconladder.membership;

/**
 * Computes how long a suspected member has to refute before it is declared dead. This is Lifeguard's dynamic timeout:
 * it decreases with the logarithm of the number of members that confirm the suspicion.
 */
final class SuspicionTimeout {
    /** Lifeguard's alpha: the shortest timeout, in probe periods times the logarithm of the fleet's size. */
    private static final double ALPHA = 5;
    /** Lifeguard's beta: the longest timeout, as a multiple of the shortest. */
    private static final double BETA = 6;

    private SuspicionTimeout() {}

    /** Returns the timeout in nanoseconds, counted from when the member became suspected. */
    static long nanos(MemberEntry entry, MemberTable table, LocalHealth health) {
        double sizeFactor = Math.max(1, Math.log10(Math.max(1, table.size() + 1)));
        double minNanos = ALPHA * sizeFactor * FailureDetector.PERIOD_NANOS;
        double maxNanos = BETA * minNanos;
        double confirmedShare = Math.log(entry.confirmations() + 1) / Math.log(MemberEntry.MAX_CONFIRMATIONS + 1);
        long timeoutNanos = (long) Math.max(minNanos, maxNanos - (maxNanos - minNanos) * confirmedShare);
        return entry.isSuspectedBy(table.self().name()) ? health.scale(timeoutNanos) : timeoutNanos;
    }
}
