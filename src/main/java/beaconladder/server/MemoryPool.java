package beaconladder.server;

import java.util.concurrent.atomic.AtomicLong;

/** Counts the memory that all clients together use for one purpose. Safe for concurrent use, without a lock. */
final class MemoryPool {
    /** Decides whether a client that holds some memory of a pool gets more of it. */
    interface Share {
        boolean allows(long heldBytes, long bytes, long freeBytes, long poolBytes);
    }

    private final Share share;
    private final long poolBytes;
    private final AtomicLong freeBytes;

    MemoryPool(long bytes, Share share) {
        this.poolBytes = bytes;
        this.freeBytes = new AtomicLong(bytes);
        this.share = share;
    }

    /** Reserves memory for a client that holds this much already; returns false, with nothing reserved, if refused. */
    boolean tryReserve(long heldBytes, long bytes) {
        long free = freeBytes.get();
        while (share.allows(heldBytes, bytes, free, poolBytes)) {
            if (freeBytes.compareAndSet(free, free - bytes)) {
                return true;
            }
            free = freeBytes.get();
        }
        return false;
    }

    void release(long bytes) {
        if (bytes != 0) {
            freeBytes.addAndGet(bytes);
        }
    }

    /** The memory of the pool, whether free or reserved. */
    long poolBytes() {
        return poolBytes;
    }

    long freeBytes() {
        return freeBytes.get();
    }
}
