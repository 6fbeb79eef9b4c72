package beaconladder.lease;

/**
 * What a process asks for each time it requests the lease of a task; fixed while the process runs.
 *
 * @param task the name of the task
 * @param holder this process, by name and incarnation
 * @param lengthNanos the length of the lease
 * @param clockBoundNanos how far any clock of the fleet may be from the true time
 */
public record LeaseTerms(String task, String holder, long lengthNanos, long clockBoundNanos) {
    /** Renewal starts after a third of the length, which leaves four attempts before the lease ends. */
    private static final int RENEWAL_DIVISOR = 3;
    /** A request without a response is repeated after a sixth of the length. */
    private static final int RETRY_DIVISOR = 6;

    /** Time between a request and the next one while there is no response. */
    long retryIntervalNanos() {
        return Math.max(1, lengthNanos / RETRY_DIVISOR);
    }

    /** Time from a grant to its renewal: at most half of what remains of it. */
    long renewalIntervalNanos(long remainingNanos) {
        return Math.max(1, Math.min(lengthNanos / RENEWAL_DIVISOR, remainingNanos / 2));
    }

    /** A pending request older than this could no longer bring a lease of useful length. */
    long pendingRequestLimitNanos() {
        return lengthNanos / 2;
    }

    /**
     * When the holder must stop acting on a grant. Bounded twice: by the lease server's expiry, and by this process's
     * clock alone since the request was sent, which no clock offset can lengthen.
     */
    long actDeadlineNanos(long grantExpiryNanos, long requestSentAtNanos) {
        return Math.min(grantExpiryNanos, requestSentAtNanos + lengthNanos) - clockBoundNanos;
    }

    LeaseRequest acquire(long number, long token) {
        return LeaseRequest.acquire(task, holder, number, token, lengthNanos);
    }

    /** A release of whatever is held: token 0 also covers a grant whose response never arrived. */
    LeaseRequest release(long number) {
        return LeaseRequest.release(task, holder, number, 0);
    }
}
