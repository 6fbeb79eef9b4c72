package beaconladder.lease;

/**
 * The numbers of the requests that a process has sent for a task, and the oldest of them that is still pending. The
 * length of a lease is counted from that oldest one, because the request that a response belongs to was not sent
 * earlier.
 *
 * @param lastNumber the number of the newest request; 0 before the first
 * @param pendingNumber the number of the oldest pending request, or {@link #NONE_PENDING}
 * @param pendingSinceNanos when that request was sent, in nanoseconds of this process's clock; 0 if none is pending
 */
public record RequestSequence(long lastNumber, long pendingNumber, long pendingSinceNanos) {
    /** The pending number while no response is awaited; greater than every request number. */
    static final long NONE_PENDING = Long.MAX_VALUE;

    static RequestSequence initial() {
        return new RequestSequence(0, NONE_PENDING, 0);
    }

    boolean isPending() {
        return pendingNumber != NONE_PENDING;
    }

    /** Returns the number of the next request. */
    long nextNumber() {
        return lastNumber + 1;
    }

    /** Returns the sequence after one more request was sent; it is pending like the earlier ones. */
    RequestSequence withRequestSent(long nowNanos) {
        return isPending()
                ? new RequestSequence(nextNumber(), pendingNumber, pendingSinceNanos)
                : new RequestSequence(nextNumber(), nextNumber(), nowNanos);
    }

    /** Returns the sequence without pending requests; responses to earlier requests are ignored. */
    RequestSequence withoutPending() {
        return new RequestSequence(lastNumber, NONE_PENDING, 0);
    }

    /** Returns the sequence after one more request was sent whose response is ignored. */
    RequestSequence withUntrackedRequestSent() {
        return new RequestSequence(nextNumber(), NONE_PENDING, 0);
    }
}
