package beaconladder.lease;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The state of one task's lease on the lease servers. It is never removed, because the token of a task must never
 * restart from 0. Its JSON names are those of the snapshots.
 *
 * @param holder the process that holds the lease, by name and incarnation; empty for none
 * @param token the fencing token of the newest grant; 0 before the first
 * @param expiryNanos when the newest grant expires, in Unix nanoseconds
 * @param lastReleasedBy the process that sent the newest release, by name and incarnation; empty for none
 * @param lastReleaseNumber the request number of that release
 * @param successor the name of the process that the task is reserved for after a hand-over; empty for none
 * @param reservedUntilNanos when that reservation ends, in Unix nanoseconds
 */
public record Lease(
        String task,
        String holder,
        long token,
        @JsonProperty("expiry") long expiryNanos,
        @JsonProperty("gaveUp") String lastReleasedBy,
        @JsonProperty("gaveUpNumber") long lastReleaseNumber,
        @JsonProperty("heir") String successor,
        @JsonProperty("heirUntil") long reservedUntilNanos) {
    /** Returns the lease of a task that was never granted. */
    static Lease initial(String task) {
        return new Lease(task, "", 0, Long.MIN_VALUE, "", 0, "", Long.MIN_VALUE);
    }

    /** Returns the lease after a grant or a renewal; a grant to the successor ends the reservation. */
    Lease grantedTo(String newHolder, long newToken, long newExpiryNanos) {
        boolean isSuccessor = LeaseRequest.processName(newHolder).equals(successor);
        return new Lease(
                task,
                newHolder,
                newToken,
                newExpiryNanos,
                lastReleasedBy,
                lastReleaseNumber,
                isSuccessor ? "" : successor,
                reservedUntilNanos);
    }

    /** Returns the lease after its holder released it with the request of this number. */
    Lease releasedByHolder(long requestNumber) {
        return new Lease(task, "", token, expiryNanos, holder, requestNumber, successor, reservedUntilNanos);
    }

    /**
     * Returns the lease after a release by a process that does not hold it. The release is recorded because earlier
     * requests of that process may still be in flight.
     */
    Lease releasedByNonHolder(String process, long requestNumber) {
        return new Lease(task, holder, token, expiryNanos, process, requestNumber, successor, reservedUntilNanos);
    }

    Lease reservedFor(String successorName, long untilNanos) {
        return new Lease(
                task, holder, token, expiryNanos, lastReleasedBy, lastReleaseNumber, successorName, untilNanos);
    }

    boolean hasNoHolder() {
        return holder.isEmpty();
    }

    /** Returns whether this process released the task with a later request than the one of this number. */
    boolean wasReleasedAfter(String process, long requestNumber) {
        return process.equals(lastReleasedBy) && requestNumber < lastReleaseNumber;
    }

    /** Returns whether the task is reserved at this time for a process of another name. */
    boolean isReservedForAnother(String process, long nowNanos) {
        return !successor.isEmpty()
                && nowNanos <= reservedUntilNanos
                && !LeaseRequest.processName(process).equals(successor);
    }
}
