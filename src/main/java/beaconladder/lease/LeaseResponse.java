package beaconladder.lease;

/**
 * What the grantor says to an ask.
 *
 * @param number of the ask
 * @param grant what the asker holds now, or null
 * @param holder who else holds it, or an empty text
 * @param free so long until it may be free, in nanoseconds
 */
public record LeaseResponse(String task, long number, Why why, LeaseGrant grant, String holder, long free) {
    /** Why the answer is as it is. */
    public enum Why {
        /** The asker holds the task. */
        GRANTED,
        /** Another one does, or it is kept for an heir. */
        HELD,
        /** The asker holds it still, and is to give it up: an operator handed it over. */
        HANDED_OVER,
        /** The ask was overtaken by the asker's own release. */
        OVERTAKEN,
        /** What was asked for has been done, with no grant to tell of. */
        DONE,
        /** There is no such lease, or the asker is not who holds it. */
        NOT_HELD
    }
}
