package beaconladder.lease.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in nanoseconds as it stood when this was made, moved on by the monotonic clock: spans by it are spans of
 * real time, whatever is done to the wall clock meanwhile. In a rehearsal off by what a file says, so that clocks can
 * be set apart on one machine.
 */
public final class AnchoredClock implements LongSupplier {
    private static final long READ_NANOS = 10_000_000;

    private final Path offsetMillis;
    private final long anchor = unixNanos() - System.nanoTime();
    private long read = System.nanoTime() - READ_NANOS;
    private long offset;

    /** The machine's own. */
    public AnchoredClock() {
        this(null);
    }

    /** One that is off by the milliseconds that this file holds; null for none. */
    public AnchoredClock(Path offsetMillis) {
        this.offsetMillis = offsetMillis;
    }

    @Override
    public synchronized long getAsLong() {
        if (offsetMillis != null && System.nanoTime() - read >= READ_NANOS) {
            read = System.nanoTime();
            try {
                offset = Long.parseLong(Files.readString(offsetMillis).strip()) * 1_000_000;
            } catch (IOException | NumberFormatException e) {
                // Half written: the offset stays as it was until the next look.
            }
        }
        return anchor + System.nanoTime() + offset;
    }

    private static long unixNanos() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000L + now.getNano();
    }
}
