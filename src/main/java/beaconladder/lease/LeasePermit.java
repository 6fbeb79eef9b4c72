package beaconladder.lease;

/**
 * What each act on a shared resource carries, so that the resource can reject it when it arrives too late.
 *
 * @param token the fencing token of the newest grant, or 0 before the first
 * @param deadlineNanos an act must be sent before this, by the holder's clock
 */
public record LeasePermit(long token, long deadlineNanos) {
    static LeasePermit none() {
        return new LeasePermit(0, Long.MIN_VALUE);
    }

    LeasePermit endingBy(long nowNanos) {
        return new LeasePermit(token, Math.min(deadlineNanos, nowNanos));
    }
}
