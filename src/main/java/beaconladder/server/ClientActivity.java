package beaconladder.server;

/** When a client was last active and whether its connection is closing; read by other threads than its reader's. */
final class ClientActivity {
    /** On System.nanoTime's clock. */
    private volatile long lastUsedNanoTime = System.nanoTime();
    /** Whether a valid request has arrived. */
    private volatile boolean sentRequest;
    /** When the connection began to close, on System.nanoTime's clock, or 0. */
    private volatile long closingSinceNanoTime;

    long lastUsedNanoTime() {
        return lastUsedNanoTime;
    }

    void markUsed() {
        lastUsedNanoTime = System.nanoTime();
    }

    boolean hasSentRequest() {
        return sentRequest;
    }

    void setHasSentRequest(boolean now) {
        sentRequest = now;
    }

    /** The client has been sent an error after which its connection closes. */
    void markClosing() {
        closingSinceNanoTime = System.nanoTime();
    }

    boolean isClosing() {
        return closingSinceNanoTime != 0;
    }

    /** When the connection began to close, or 0. */
    long closingSinceNanoTime() {
        return closingSinceNanoTime;
    }
}
