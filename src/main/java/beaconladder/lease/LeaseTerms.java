package beaconladder.lease;

/**
 * The parameters of a process's requests for the lease of a task; fixed while the process runs.
 *
 * @param task the name of the task
 * @param holder this process, by name and incarnation
 * @param lengthNanos the length of the lease
 * @param clockBoundNanos the largest difference between any clock of the fleet and the true time
 */
public record LeaseTerms(String task, String holder, long lengthNanos, long clockBoundNanos) {
    /** Renewal starts after a third of the length, which leaves four attempts before the lease expires. */
    private static final int RENEWAL_DIVISOR = 3;
    /** A request without a response is repeated after a sixth of the length. */
    private static final int RETRY_DIVISOR = 6;

    /** Returns the time between two requests while no response arrives. */
    long retryIntervalNanos() {
        return Math.max(1, lengthNanos / RETRY_DIVISOR);
    }

    /** Returns the time from a grant to its renewal: at most half of the remaining time of the lease. */
    long renewalIntervalNanos(long remainingNanos) {
        return Math.max(1, Math.min(lengthNanos / RENEWAL_DIVISOR, remainingNanos / 2));
    }

    /**
     * Returns the greatest useful age of a pending request: the lease granted to an older one would be too short to
     * use.
     */
    long maxPendingRequestAgeNanos() {
        return lengthNanos / 2;
    }

    /**
     * Returns when the holder must stop using a grant. It is bounded twice: by the lease server's expiry, and by the
     * lease length since the request was sent, measured by this process's clock alone, which no clock offset extends.
     */
    long permitDeadlineNanos(long grantExpiryNanos, long requestSentAtNanos) {
        return Math.min(grantExpiryNanos, requestSentAtNanos + lengthNanos) - clockBoundNanos;
    }

    LeaseRequest acquire(long number, long token) {
        return LeaseRequest.acquire(task, holder, number, token, lengthNanos);
    }

    /** Returns a release of any grant: token 0 also covers a grant whose response never arrived. */
    LeaseRequest release(long number) {
        return LeaseRequest.release(task, holder, number, 0);
    }
}
