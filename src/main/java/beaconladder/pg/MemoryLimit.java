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
    boolean tryReserve(int bytes) {
        if (left.addAndGet(-bytes) >= 0 && (whole == null || whole.tryReserve(bytes))) {
            return true;
        }
        left.addAndGet(bytes);
        return false;
    }

    void release(int bytes) {
        left.addAndGet(bytes);
        if (whole != null) {
            whole.release(bytes);
        }
    }

    /** How much is free. */
    public long availableBytes() {
        return left.get();
    }
}
