package beaconladder.lease;

/**
 * A record that is stored with the leases. A holder writes it before it acts, so that the next holder can continue from
 * there.
 *
 * @param holder the process that writes under its lease, by name and incarnation; empty for an operator
 * @param token the fencing token of that lease; 0 for an operator
 * @param position the number of records of the task that the writer has read or written; the write is rejected if there
 *     are more
 * @param replacesEarlier whether the earlier records of the task are dropped
 */
public record FencedRecord(String task, String holder, long token, int position, boolean replacesEarlier, String text) {
    /** Returns whether the writer must hold the lease; an operator need not. */
    boolean needsLease() {
        return token != 0 || !holder.isEmpty();
    }
}
