package beaconladder.testbed;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Records when this process was not scheduled in time. A stall here at the same time as in another process shows that
 * the machine delayed both.
 */
public final class StallRecorder implements AutoCloseable {
    private static final int SLEEP_MILLIS = 5;
    /** Shorter delays are usual on a busy machine. */
    private static final long MIN_STALL_MILLIS = 50;

    /**
     * A time for which this process was not scheduled.
     *
     * @param endMillis its end, in Unix time in milliseconds
     * @param lengthMillis its length in milliseconds
     */
    public record Stall(long endMillis, long lengthMillis) {}

    private final List<Stall> stalls = new CopyOnWriteArrayList<>();
    private volatile boolean closed;

    /** Starts recording. */
    public StallRecorder() {
        StandInThreads.spawn(this::record);
    }

    private void record() {
        while (!closed) {
            long startNanos = System.nanoTime();
            StandInThreads.sleep(SLEEP_MILLIS);
            long lengthMillis = (System.nanoTime() - startNanos) / 1_000_000;
            if (lengthMillis >= MIN_STALL_MILLIS) {
                stalls.add(new Stall(System.currentTimeMillis(), lengthMillis));
            }
        }
    }

    /** Returns the stalls so far, in the order of time. */
    public List<Stall> stalls() {
        return List.copyOf(stalls);
    }

    @Override
    public void close() {
        closed = true;
    }
}
