package beaconladder.testbed;

/**
 * What a service bears: so many lines a second, each call its lines and some more. Calls wait in turn, also those that
 * nobody waits for any more; one that would wait too long is turned away at once.
 */
public final class Capacity {
    private static final double NANOS = 1e9;
    private final double lineNanos;
    private final int callLines;
    private final long longest;
    private long busyUntil = System.nanoTime();
    private long refused;

    /**
     * Makes one that is idle.
     *
     * @param lines it sends in a second
     * @param callLines a call costs beside its lines
     * @param longest milliseconds that a call may take, its turn included
     */
    public Capacity(int lines, int callLines, int longest) {
        lineNanos = NANOS / lines;
        this.callLines = callLines;
        this.longest = longest * 1_000_000L;
    }

    /** Returns once a call of so many lines has had its turn; false at once where it is turned away. */
    boolean serve(int lines) {
        long until;
        synchronized (this) {
            long now = System.nanoTime();
            until = Math.max(busyUntil, now) + (long) ((lines + callLines) * lineNanos);
            if (until - now > longest) {
                refused++;
                return false;
            }
            busyUntil = until;
        }
        StandInThreads.sleep((int) Math.max(0, (until - System.nanoTime()) / 1_000_000));
        return true;
    }

    /** Takes up all of what it bears for so long: a burst that others make. */
    public synchronized void occupy(int millis) {
        busyUntil = Math.max(busyUntil, System.nanoTime()) + millis * 1_000_000L;
    }

    /** How many calls were turned away. */
    public synchronized long refused() {
        return refused;
    }
}
