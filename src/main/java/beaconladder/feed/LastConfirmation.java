package beaconladder.feed;

/**
 * When the version held here was last known to be the log's newest. One thread writes, any thread reads. Times are
 * those of {@link System#nanoTime}.
 */
final class LastConfirmation {
    private volatile long atNanos;
    private volatile boolean known;

    void set(long nanos) {
        atNanos = nanos;
        known = true;
    }

    /** Sets the time unless a later one is known: responses of two relays may arrive out of order. */
    void advanceTo(long nanos) {
        atNanos = known ? Math.max(atNanos, nanos) : nanos;
        known = true;
    }

    boolean isKnown() {
        return known;
    }

    /** Nanoseconds since the confirmation; meaningful only if it {@link #isKnown}. */
    long ageNanos() {
        return System.nanoTime() - atNanos;
    }
}
