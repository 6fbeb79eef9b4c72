package beaconladder.membership;

/**
 * How long a suspected member has to refute before it is declared dead. Lifeguard's dynamic timeout: it shrinks with
 * the logarithm of the number of members that confirm the suspicion.
 */
final class SuspicionTimeout {
    /** Lifeguard's alpha: the shortest timeout, in probe periods times the logarithm of the fleet's size. */
    private static final double ALPHA = 5;
    /** Lifeguard's beta: the longest timeout, as a multiple of the shortest. */
    private static final double BETA = 6;

    private SuspicionTimeout() {}

    /** Nanoseconds from the time at which the entry became suspected. */
    static long nanos(MemberEntry entry, MemberTable table, LocalHealth health) {
        double fleet = Math.max(1, Math.log10(Math.max(1, table.size() + 1)));
        double shortest = ALPHA * fleet * FailureDetector.PERIOD_NANOS;
        double longest = BETA * shortest;
        double confirmed = Math.log(entry.confirmations() + 1) / Math.log(MemberEntry.MAX_CONFIRMATIONS + 1);
        long timeout = (long) Math.max(shortest, longest - (longest - shortest) * confirmed);
        return entry.isSuspectedBy(table.self().name()) ? health.scale(timeout) : timeout;
    }
}
