package beaconladder.lease;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What the lease servers remember of one task. It is never removed, since the token of a task must never start again
 * from 0. Its JSON names are those of snapshots.
 *
 * @param holder the process that holds the task, or an empty text
 * @param token the fencing token of the newest grant, or 0
 * @param expiryNanos when the newest grant expires, in Unix nanoseconds
 * @param lastReleasedBy the process that released it last, or an empty text
 * @param lastReleaseNumber the number of that release
 * @param successor the name of the process that it is reserved for after a hand-over, or an empty text
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
    static Lease none(String task) {
        return new Lease(task, "", 0, Long.MIN_VALUE, "", 0, "", Long.MIN_VALUE);
    }

    Lease heldBy(String nextHolder, long nextToken, long nextExpiryNanos) {
        boolean successorArrived = LeaseRequest.processName(nextHolder).equals(successor);
        return new Lease(
                task,
                nextHolder,
                nextToken,
                nextExpiryNanos,
                lastReleasedBy,
                lastReleaseNumber,
                successorArrived ? "" : successor,
                reservedUntilNanos);
    }

    /** Released by its holder. */
    Lease released(long number) {
        return new Lease(task, "", token, expiryNanos, holder, number, successor, reservedUntilNanos);
    }

    /** Released by a process that does not hold it: its earlier requests may still be on the way. */
    Lease withReleaseOf(String process, long number) {
        return new Lease(task, holder, token, expiryNanos, process, number, successor, reservedUntilNanos);
    }

    Lease reservedFor(String name, long untilNanos) {
        return new Lease(task, holder, token, expiryNanos, lastReleasedBy, lastReleaseNumber, name, untilNanos);
    }

    boolean hasNoHolder() {
        return holder.isEmpty();
    }

    /** Whether this process has released the task with a later request than this one. */
    boolean wasReleasedAfter(String process, long number) {
        return process.equals(lastReleasedBy) && number < lastReleaseNumber;
    }

    /** Whether it is reserved now for a process of another name. */
    boolean isReservedForAnother(String process, long nowNanos) {
        return !successor.isEmpty()
                && nowNanos <= reservedUntilNanos
                && !LeaseRequest.processName(process).equals(successor);
    }
}
