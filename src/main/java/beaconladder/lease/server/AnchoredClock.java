package beaconladder.lease.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * A clock that starts at the Unix time of its creation, in nanoseconds, and advances with the monotonic clock: its
 * intervals are real time even if the wall clock is stepped. For tests, a file can offset it, so that the clocks of
 * processes on one machine differ.
 */
public final class AnchoredClock implements LongSupplier {
    /** The shortest time between two reads of the offset file. */
    private static final long OFFSET_READ_INTERVAL_NANOS = 10_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final Path offsetMillisFile;
    private final long anchorNanos = unixNanos() - System.nanoTime();
    private long offsetReadAtNanos = System.nanoTime() - OFFSET_READ_INTERVAL_NANOS;
    private long offsetNanos;

    /** Creates a clock without an offset. */
    public AnchoredClock() {
        this(null);
    }

    /** Creates a clock whose offset in milliseconds is the content of this file; null for no offset. */
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
                // The file may be partly written: keeps the offset until the next read.
            }
        }
        return anchorNanos + System.nanoTime() + offsetNanos;
    }

    private static long unixNanos() {
        Instant now = Instant.now();
        return now.getEpochSecond() * NANOS_PER_SECOND + now.getNano();
    }
}
