package beaconladder.feed;

/** Where the newest history hangs out; those who wait for a newer one are woken. */
public final class VersionNotifier {
    private VersionHistory history = VersionHistory.empty();

    /** What hangs there now. */
    public synchronized VersionHistory current() {
        return history;
    }

    /** Hangs out another one. */
    public synchronized void publish(VersionHistory next) {
        history = next;
        notifyAll();
    }

    /** Wakes all who wait, as there is something else to tell them. */
    synchronized void wakeAll() {
        notifyAll();
    }

    /** What hangs there once it is newer than this version, after so long at the latest, or after a wake. */
    public synchronized VersionHistory awaitNewer(long version, long millis) throws InterruptedException {
        if (history.newest().version() <= version && millis > 0) {
            wait(millis);
        }
        return history;
    }
}
