package beaconladder.testbed;

/**
 * The capacity of a service as a queue that is served at a constant rate of lines per second. Each call costs its lines
 * and a fixed overhead. Calls are served in the order of their arrival, even if the client has given up; a call that
 * would take too long is rejected at once.
 */
public final class Capacity {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private final double nanosPerLine;
    private final int linesPerCall;
    private final long maxCallNanos;
    private long busyUntilNanos = System.nanoTime();
    private long refused;

    /**
     * Creates an idle service.
     *
     * @param linesPerSecond the number of lines that the service sends in a second
     * @param linesPerCall the overhead of a call, in lines
     * @param maxMillis the longest time that a call may take, waiting included, in milliseconds
     */
    public Capacity(int linesPerSecond, int linesPerCall, int maxMillis) {
        nanosPerLine = NANOS_PER_SECOND / linesPerSecond;
        this.linesPerCall = linesPerCall;
        this.maxCallNanos = maxMillis * NANOS_PER_MILLI;
    }

    /** Waits until a call of this many lines is served and returns true, or returns false at once if it is rejected. */
    boolean serve(int lines) {
        long doneAtNanos;
        synchronized (this) {
            long now = System.nanoTime();
            doneAtNanos = Math.max(busyUntilNanos, now) + (long) ((lines + linesPerCall) * nanosPerLine);
            if (doneAtNanos - now > maxCallNanos) {
                refused++;
                return false;
            }
            busyUntilNanos = doneAtNanos;
        }
        StandInThreads.sleep((int) Math.max(0, (doneAtNanos - System.nanoTime()) / NANOS_PER_MILLI));
        return true;
    }

    /** Occupies the whole capacity for a time, as a burst of other clients' calls would. */
    public synchronized void occupy(int millis) {
        busyUntilNanos = Math.max(busyUntilNanos, System.nanoTime()) + millis * NANOS_PER_MILLI;
    }

    /** Returns the number of calls that were rejected. */
    public synchronized long refused() {
        return refused;
    }
}
