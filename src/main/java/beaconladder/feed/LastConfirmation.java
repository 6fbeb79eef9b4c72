package beaconladder.feed;

/**
 * The last time at which the version held here was known to be the log's newest. One thread writes, any thread reads.
 * Times are those of {@link System#nanoTime}.
 */
final class LastConfirmation {
    private volatile long confirmedAtNanos;
    private volatile boolean known;

    void set(long nanoTime) {
        confirmedAtNanos = nanoTime;
        known = true;
    }

    /** Sets the time unless a later one is known: the responses of two relays may arrive out of order. */
    void advanceTo(long nanoTime) {
        confirmedAtNanos = known ? Math.max(confirmedAtNanos, nanoTime) : nanoTime;
        known = true;
    }

    boolean isKnown() {
        return known;
    }

    /** Returns the time since the confirmation in nanoseconds; meaningful only if it {@link #isKnown}. */
    long ageNanos() {
        return System.nanoTime() - confirmedAtNanos;
    }
}
