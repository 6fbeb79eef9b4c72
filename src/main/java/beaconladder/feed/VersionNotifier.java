package beaconladder.feed;

/** Where the newest history hangs out; those who wait for a newer one are woken. */
public final class VersionNotifier {
    private VersionHistory history = VersionHistory.none();

    /** What hangs there now. */
    public synchronized VersionHistory now() {
        return history;
    }

    /** Hangs out another one. */
    public synchronized void show(VersionHistory next) {
        history = next;
        notifyAll();
    }

    /** Wakes all who wait, as there is something else to tell them. */
    synchronized void wake() {
        notifyAll();
    }

    /** What hangs there once it is newer than this version, after so long at the latest, or after a wake. */
    public synchronized VersionHistory after(long version, long millis) throws InterruptedException {
        if (history.newest().version() <= version && millis > 0) {
            wait(millis);
        }
        return history;
    }
}
