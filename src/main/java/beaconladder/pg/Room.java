package beaconladder.pg;

import java.util.concurrent.atomic.AtomicLong;

/** The memory that all connections together may take for messages larger than usual. */
public final class Room {
    private final AtomicLong left;

    public Room(long bytes) {
        left = new AtomicLong(bytes);
    }

    /** Takes so many bytes; false when they are not to be had. */
    boolean take(int bytes) {
        if (left.addAndGet(-bytes) >= 0) {
            return true;
        }
        left.addAndGet(bytes);
        return false;
    }

    void give(int bytes) {
        left.addAndGet(bytes);
    }

    /** How much is free. */
    public long left() {
        return left.get();
    }
}
