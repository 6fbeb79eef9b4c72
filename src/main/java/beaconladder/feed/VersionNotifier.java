package beaconladder.feed;

/** Publishes the newest history to threads that wait for a newer version. Thread-safe. */
public final class VersionNotifier {
    private VersionHistory history = VersionHistory.empty();

    /** Returns the history that was published last; the empty history before the first. */
    public synchronized VersionHistory current() {
        return history;
    }

    /** Replaces the history and wakes all waiting threads. */
    public synchronized void publish(VersionHistory next) {
        history = next;
        notifyAll();
    }

    /** Wakes all waiting threads without a new version, after something else in their responses has changed. */
    synchronized void wakeAll() {
        notifyAll();
    }

    /**
     * Waits at most once for a newer version, and returns the current history, newer or not.
     *
     * @param version the version that the caller holds
     * @param timeoutMillis the longest wait; 0 to return at once
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public synchronized VersionHistory awaitNewer(long version, long timeoutMillis) throws InterruptedException {
        if (history.newest().version() <= version && timeoutMillis > 0) {
            wait(timeoutMillis);
        }
        return history;
    }
}
