package beaconladder.server;

/**
 * Limits the file descriptors to the configured number: a connection acquires its descriptor here before it is opened
 * and releases it after it is closed. So no system call fails with "too many open files" under load: clients wait in
 * the listener's queue, and requests wait for a connection to a host. This class opens no sockets, and reads the clock
 * only to wait.
 */
final class DescriptorLimit {
    /** Which kind of connection a descriptor is used for. */
    enum Use {
        CLIENT,
        SERVER
    }

    /**
     * Descriptors for other uses. Jars, streams, the selector and its wake-up, the listener and the JVM's own were
     * counted at 20. Two more are for discovery's old and new address, one for the coordinator, and one for the
     * configuration file during a reload; the remaining 8 are a margin.
     */
    private static final int PROCESS_RESERVE = 32;
    /** Descriptors for clients that are accepted only to receive the error that rejects them. */
    private static final int REJECTION_RESERVE = 32;

    /** Lower bound of the descriptors for connections: one for each use even with the smallest setting. */
    private static final int MIN_TOTAL = 4;

    private final int total;
    private final int maxServed;
    private final int minPerUse;
    private final int[] held = new int[Use.values().length];

    /** Creates a limit from the configured number of descriptors of the whole process. */
    DescriptorLimit(int maxDescriptors) {
        total = Math.max(MIN_TOTAL, maxDescriptors - PROCESS_RESERVE);
        maxServed = Math.max(1, maxDescriptors - PROCESS_RESERVE - REJECTION_RESERVE);
        // A minimum per use, so that neither starves the other: requests need both a client and a host.
        minPerUse = total / 4;
    }

    /** Returns how many descriptors connections that are served may hold; the others are for rejected clients. */
    int maxServed() {
        return maxServed;
    }

    /** Returns how many descriptors are held for both uses together. */
    synchronized int held() {
        return held[0] + held[1];
    }

    /** Returns how many descriptors are held for this use. */
    synchronized int held(Use use) {
        return held[use.ordinal()];
    }

    /** Acquires a descriptor; returns false when none is available for this use. */
    synchronized boolean acquire(Use use) {
        int other = held[1 - use.ordinal()];
        if (held[use.ordinal()] + Math.max(other, minPerUse) >= total) {
            return false;
        }
        held[use.ordinal()]++;
        return true;
    }

    /**
     * Acquires a descriptor, waiting until this {@code System.nanoTime} at the latest; returns false on a timeout and
     * when the thread is interrupted.
     */
    synchronized boolean acquire(Use use, long deadlineNanoTime) {
        boolean interrupted = false;
        while (!acquire(use)) {
            long remainingMillis = (deadlineNanoTime - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0 || interrupted) {
                return false;
            }
            try {
                wait(remainingMillis);
            } catch (InterruptedException e) {
                interrupted = true;
                Thread.currentThread().interrupt();
            }
        }
        return true;
    }

    /** Releases this many descriptors after they have been closed. */
    synchronized void release(Use use, int count) {
        held[use.ordinal()] -= count;
        if (count > 0) {
            notifyAll();
        }
    }
}
