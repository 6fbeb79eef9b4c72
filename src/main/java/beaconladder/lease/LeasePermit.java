package beaconladder.lease;

/**
 * The token and the deadline that a holder attaches to each operation on a shared resource, so that the resource can
 * reject an operation that arrives too late.
 *
 * @param token the fencing token of the newest grant; 0 before the first
 * @param deadlineNanos when the holder must stop sending operations, in nanoseconds of its clock
 */
public record LeasePermit(long token, long deadlineNanos) {
    static LeasePermit none() {
        return new LeasePermit(0, Long.MIN_VALUE);
    }

    /** Returns this permit with a deadline that is not after the given time. */
    LeasePermit endingBy(long nowNanos) {
        return new LeasePermit(token, Math.min(deadlineNanos, nowNanos));
    }
}
