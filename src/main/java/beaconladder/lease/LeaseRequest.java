package beaconladder.lease;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A request to the lease servers about one task.
 *
 * @param holder the requesting process, by name and incarnation; empty for a hand-over
 * @param number the position of this request among those of the process for the task, from 1; identifies late requests
 * @param token for an acquisition, the token of the lease that the process holds, 0 for none; for a release, the token
 *     to release, 0 for any
 * @param lengthNanos the length of the lease, or of the successor's reservation; 0 for a release
 * @param successor for a hand-over, the name of the process that the task is reserved for; otherwise empty
 */
public record LeaseRequest(
        Kind kind,
        String task,
        String holder,
        long number,
        long token,
        @JsonProperty("length") long lengthNanos,
        @JsonProperty("heir") String successor) {
    /** The operation that is requested. */
    public enum Kind {
        /** Acquire the lease, or renew it. */
        @JsonProperty("TAKE")
        ACQUIRE,
        /** Release the lease before it expires. */
        RELEASE,
        /** Make the holder release the task, and reserve it for another process. */
        HAND_OVER
    }

    /** Returns a request to acquire or renew the lease of a task. */
    public static LeaseRequest acquire(String task, String holder, long number, long token, long lengthNanos) {
        return new LeaseRequest(Kind.ACQUIRE, task, holder, number, token, lengthNanos, "");
    }

    static LeaseRequest release(String task, String holder, long number, long token) {
        return new LeaseRequest(Kind.RELEASE, task, holder, number, token, 0, "");
    }

    /** Returns an operator's request to hand the task over to the process of this name. */
    public static LeaseRequest handOver(String task, String successor, long lengthNanos) {
        return new LeaseRequest(Kind.HAND_OVER, task, "", 0, 0, lengthNanos, successor);
    }

    /** Returns the name of a holder without its incarnation. */
    public static String processName(String holder) {
        int hash = holder.indexOf('#');
        return hash < 0 ? holder : holder.substring(0, hash);
    }
}
