package beaconladder.pg;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory that all connections together use for messages larger than usual; safe for concurrent use. */
public final class MemoryLimit {
    private final AtomicLong available;
    private final MemoryLimit parent;

    /** A limit of its own. */
    public MemoryLimit(long bytes) {
        this(bytes, null);
    }

    /** A limit within another one: what is reserved here is reserved in the parent, too. */
    public MemoryLimit(long bytes, MemoryLimit parent) {
        this.available = new AtomicLong(bytes);
        this.parent = parent;
    }

    /** Reserves this many bytes; returns false, with nothing reserved, if they are not available. */
    boolean tryReserve(int bytes) {
        if (available.addAndGet(-bytes) >= 0 && (parent == null || parent.tryReserve(bytes))) {
            return true;
        }
        available.addAndGet(bytes);
        return false;
    }

    /** Returns bytes that were reserved. */
    void release(int bytes) {
        available.addAndGet(bytes);
        if (parent != null) {
            parent.release(bytes);
        }
    }

    /** Bytes that can still be reserved here, whatever the parent allows. */
    public long availableBytes() {
        return available.get();
    }
}
