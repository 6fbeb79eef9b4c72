package beaconladder.lease;

/**
 * What is asked of the grantor for one task.
 *
 * @param holder the process that asks, by name and incarnation
 * @param number counts the asks of a process for a task, so that one that comes late is known
 * @param token for a take, the token under which the asker acts now, or 0; for a release, the one given up
 * @param length for a take, how long the lease is to be, in nanoseconds
 * @param heir for a hand-over, the name of the process that is to hold the task next
 */
public record LeaseRequest(Kind kind, String task, String holder, long number, long token, long length, String heir) {
    /** Take it or hold it longer; give it up; have it given to another. */
    public enum Kind {
        TAKE,
        RELEASE,
        HAND_OVER
    }

    static LeaseRequest take(String task, String holder, long number, long token, long length) {
        return new LeaseRequest(Kind.TAKE, task, holder, number, token, length, "");
    }

    static LeaseRequest release(String task, String holder, long number, long token) {
        return new LeaseRequest(Kind.RELEASE, task, holder, number, token, 0, "");
    }

    /** An operator's word that the task is to pass to the process of this name. */
    public static LeaseRequest handOver(String task, String heir, long length) {
        return new LeaseRequest(Kind.HAND_OVER, task, "", 0, 0, length, heir);
    }

    /** The name of a holder, without its incarnation. */
    public static String name(String holder) {
        int hash = holder.indexOf('#');
        return hash < 0 ? holder : holder.substring(0, hash);
    }
}
