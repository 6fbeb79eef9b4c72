package beaconladder.lease;

/**
 * A record that is kept with the leases: what a holder writes before it acts, so that the next holder can continue from
 * there.
 *
 * @param holder the process that writes under its lease, or an empty text for an operator
 * @param token the fencing token of that lease; 0 for an operator
 * @param position how many records of the task the writer knows; a writer that has missed any is rejected
 * @param replacesEarlier whether the earlier records of the task are dropped
 */
public record FencedRecord(String task, String holder, long token, int position, boolean replacesEarlier, String text) {
    /** An operator's record needs no lease. */
    boolean needsLease() {
        return token != 0 || !holder.isEmpty();
    }
}
