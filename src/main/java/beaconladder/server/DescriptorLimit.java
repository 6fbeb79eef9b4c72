package beaconladder.server;

/**
 * The one owner of the descriptors that the settings allow: whoever opens a connection has taken its descriptor here
 * before, and gives it back once the operating system has it again. So no call of the program meets "too many open
 * files", whatever comes at once: clients wait in the listener's queue, and txns for a connection to a host. It holds
 * no socket and reads no clock but to wait.
 */
final class DescriptorLimit {
    /** What a descriptor is held for. */
    enum Use {
        CLIENT,
        SERVER
    }

    /**
     * Jars, streams, the selector and its wake-up, the listener and the JVM's own were counted at 20; two more for
     * discovery's old and new address, one for the keeper, one for the operators' file at a reload, and as many as that
     * to spare.
     */
    private static final int OWN = 32;
    /** As much again is for clients that are only told that they can't stay. */
    private static final int GUESTS = 32;

    private final int whole;
    private final int most;
    private final int part;
    private final int[] held = new int[Use.values().length];

    /** So many as the settings allow to the whole program. */
    DescriptorLimit(int stated) {
        whole = Math.max(4, stated - OWN);
        most = Math.max(1, stated - OWN - GUESTS);
        // Neither use can lock the other out: without a client there is no txn, without a host no answer.
        part = whole / 4;
    }

    /** How many may be held for what is served; those beyond it are for who is told to go. */
    int most() {
        return most;
    }

    /** Held for both uses. */
    synchronized int held() {
        return held[0] + held[1];
    }

    /** Held for this use. */
    synchronized int held(Use use) {
        return held[use.ordinal()];
    }

    /** Takes one; false when there is none for this use now. */
    synchronized boolean acquire(Use use) {
        int other = held[1 - use.ordinal()];
        if (held[use.ordinal()] + Math.max(other, part) >= whole) {
            return false;
        }
        held[use.ordinal()]++;
        return true;
    }

    /** Takes one, and waits for it until this nanoTime at the latest. */
    synchronized boolean acquire(Use use, long until) {
        boolean interrupted = false;
        while (!acquire(use)) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0 || interrupted) {
                return false;
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                interrupted = true;
                Thread.currentThread().interrupt();
            }
        }
        return true;
    }

    /** Gives so many back, once they are closed. */
    synchronized void release(Use use, int n) {
        held[use.ordinal()] -= n;
        if (n > 0) {
            notifyAll();
        }
    }
}
