package beaconladder.pg;

import java.util.concurrent.atomic.AtomicLong;

/** The memory that all connections together may take for messages larger than usual. */
public final class MemoryLimit {
    private final AtomicLong left;
    private final MemoryLimit whole;

    public MemoryLimit(long bytes) {
        this(bytes, null);
    }

    /** A part of a whole: what is taken here is taken there, too. */
    public MemoryLimit(long bytes, MemoryLimit whole) {
        this.left = new AtomicLong(bytes);
        this.whole = whole;
    }

    /** Takes so many bytes; false when they are not to be had. */
    boolean take(int bytes) {
        if (left.addAndGet(-bytes) >= 0 && (whole == null || whole.take(bytes))) {
            return true;
        }
        left.addAndGet(bytes);
        return false;
    }

    void give(int bytes) {
        left.addAndGet(bytes);
        if (whole != null) {
            whole.give(bytes);
        }
    }

    /** How much is free. */
    public long left() {
        return left.get();
    }
}
