package beaconladder.lease;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A request to the lease servers about one task.
 *
 * @param holder the requesting process, by name and incarnation; empty for a hand-over
 * @param number counts the requests of a process for a task, so that one that arrives late is recognised
 * @param token to acquire: the token under which the process acts now, or 0; to release: the one released, or 0 for any
 * @param lengthNanos the length of the lease, or of a successor's reservation; 0 for a release
 * @param successor for a hand-over, the name of the process that is to hold the task next
 */
public record LeaseRequest(
        Kind kind,
        String task,
        String holder,
        long number,
        long token,
        @JsonProperty("length") long lengthNanos,
        @JsonProperty("heir") String successor) {
    /** What is requested. */
    public enum Kind {
        /** Get the lease, or renew it. */
        @JsonProperty("TAKE")
        ACQUIRE,
        /** Release the lease before it expires. */
        RELEASE,
        /** Have the task released by its holder and reserved for another process. */
        HAND_OVER
    }

    /** Requests or renews the lease of a task. */
    public static LeaseRequest acquire(String task, String holder, long number, long token, long lengthNanos) {
        return new LeaseRequest(Kind.ACQUIRE, task, holder, number, token, lengthNanos, "");
    }

    static LeaseRequest release(String task, String holder, long number, long token) {
        return new LeaseRequest(Kind.RELEASE, task, holder, number, token, 0, "");
    }

    /** An operator's request that the task pass to the process of this name. */
    public static LeaseRequest handOver(String task, String successor, long lengthNanos) {
        return new LeaseRequest(Kind.HAND_OVER, task, "", 0, 0, lengthNanos, successor);
    }

    /** The name of a holder, without its incarnation. */
    public static String processName(String holder) {
        int hash = holder.indexOf('#');
        return hash < 0 ? holder : holder.substring(0, hash);
    }
}
