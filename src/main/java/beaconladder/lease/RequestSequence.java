package beaconladder.lease;

/**
 * The numbers of the requests that a process has sent for a task, and the oldest of them that still waits for a
 * response. A lease is counted from that oldest one: whichever request is answered, it was not sent earlier.
 *
 * @param lastNumber the number of the newest request, or 0
 * @param pendingNumber the oldest request whose response is awaited, or {@link #NOT_PENDING}
 * @param pendingSinceNanos when that one was sent, by this process's clock; 0 without one
 */
public record RequestSequence(long lastNumber, long pendingNumber, long pendingSinceNanos) {
    /** The pending number while no response is awaited. */
    static final long NOT_PENDING = Long.MAX_VALUE;

    static RequestSequence initial() {
        return new RequestSequence(0, NOT_PENDING, 0);
    }

    boolean isPending() {
        return pendingNumber != NOT_PENDING;
    }

    /** The number that the next request bears. */
    long nextNumber() {
        return lastNumber + 1;
    }

    /** One more request, of which a response is awaited beside those of the earlier ones. */
    RequestSequence sent(long nowNanos) {
        return isPending()
                ? new RequestSequence(nextNumber(), pendingNumber, pendingSinceNanos)
                : new RequestSequence(nextNumber(), nextNumber(), nowNanos);
    }

    /** No response is awaited any more; late ones are ignored. */
    RequestSequence withoutPending() {
        return new RequestSequence(lastNumber, NOT_PENDING, 0);
    }

    /** One more request whose response does not matter. */
    RequestSequence sentWithoutResponse() {
        return new RequestSequence(nextNumber(), NOT_PENDING, 0);
    }
}
