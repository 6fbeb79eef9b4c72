package beaconladder.lease.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in nanoseconds at the moment this was created, advanced by the monotonic clock: intervals by it are
 * intervals of real time, also while the wall clock is stepped. In tests it can be offset by the content of a file, so
 * that the clocks of processes on one machine differ.
 */
public final class AnchoredClock implements LongSupplier {
    /** The offset file is read at most this often. */
    private static final long OFFSET_READ_INTERVAL_NANOS = 10_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final Path offsetMillisFile;
    private final long anchorNanos = unixNanos() - System.nanoTime();
    private long offsetReadAtNanos = System.nanoTime() - OFFSET_READ_INTERVAL_NANOS;
    private long offsetNanos;

    /** A clock without an offset. */
    public AnchoredClock() {
        this(null);
    }

    /** A clock that is off by the milliseconds that this file holds; null for none. */
    public AnchoredClock(Path offsetMillisFile) {
        this.offsetMillisFile = offsetMillisFile;
    }

    @Override
    public synchronized long getAsLong() {
        if (offsetMillisFile != null && System.nanoTime() - offsetReadAtNanos >= OFFSET_READ_INTERVAL_NANOS) {
            offsetReadAtNanos = System.nanoTime();
            try {
                offsetNanos = Long.parseLong(Files.readString(offsetMillisFile).strip()) * NANOS_PER_MILLI;
            } catch (IOException | NumberFormatException e) {
                // Partly written: the offset stays until the next read.
            }
        }
        return anchorNanos + System.nanoTime() + offsetNanos;
    }

    private static long unixNanos() {
        Instant now = Instant.now();
        return now.getEpochSecond() * NANOS_PER_SECOND + now.getNano();
    }
}
