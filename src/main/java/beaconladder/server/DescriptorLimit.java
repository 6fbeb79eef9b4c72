package beaconladder.server;

/**
 * Counts the descriptors that the settings allow: each connection acquires its descriptor here before it is opened, and
 * releases it once the operating system has it back. So no call of the process fails with "too many open files",
 * whatever arrives at once: clients wait in the listener's queue, and requests for a connection to a host. It holds no
 * socket, and reads the clock only to wait.
 */
final class DescriptorLimit {
    /** What a descriptor is used for. */
    enum Use {
        CLIENT,
        SERVER
    }

    /**
     * Jars, streams, the selector and its wake-up, the listener and the JVM's own were counted at 20; two more for
     * discovery's old and new address, one for the coordinator, one for the operators' file at a reload, and as many
     * again in reserve.
     */
    private static final int PROCESS_RESERVE = 32;
    /** As many again are for clients that only receive the error that they are rejected. */
    private static final int REJECTION_RESERVE = 32;

    private final int total;
    private final int maxServed;
    private final int minPerUse;
    private final int[] held = new int[Use.values().length];

    /** Of the descriptors that the settings allow to the whole process. */
    DescriptorLimit(int maxDescriptors) {
        total = Math.max(4, maxDescriptors - PROCESS_RESERVE);
        maxServed = Math.max(1, maxDescriptors - PROCESS_RESERVE - REJECTION_RESERVE);
        // Neither use can starve the other: without a client there is no request, without a host no answer.
        minPerUse = total / 4;
    }

    /** How many may be held for connections that are served; those beyond it are for clients that are rejected. */
    int maxServed() {
        return maxServed;
    }

    /** How many are held for both uses together. */
    synchronized int held() {
        return held[0] + held[1];
    }

    /** How many are held for this use. */
    synchronized int held(Use use) {
        return held[use.ordinal()];
    }

    /** Acquires one; false when there is none for this use now. */
    synchronized boolean acquire(Use use) {
        int other = held[1 - use.ordinal()];
        if (held[use.ordinal()] + Math.max(other, minPerUse) >= total) {
            return false;
        }
        held[use.ordinal()]++;
        return true;
    }

    /** Acquires one, waiting until this nanoTime at the latest; false also when the thread is interrupted. */
    synchronized boolean acquire(Use use, long deadlineNanoTime) {
        boolean interrupted = false;
        while (!acquire(use)) {
            long leftMillis = (deadlineNanoTime - System.nanoTime()) / 1_000_000;
            if (leftMillis <= 0 || interrupted) {
                return false;
            }
            try {
                wait(leftMillis);
            } catch (InterruptedException e) {
                interrupted = true;
                Thread.currentThread().interrupt();
            }
        }
        return true;
    }

    /** Releases this many, once the operating system has them back. */
    synchronized void release(Use use, int count) {
        held[use.ordinal()] -= count;
        if (count > 0) {
            notifyAll();
        }
    }
}
