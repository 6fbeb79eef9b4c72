package beaconladder.server;

/** Records when a client was last active and whether its connection is closing. May be read by any thread. */
final class ClientActivity {
    /** The {@code System.nanoTime} of the last activity. */
    private volatile long lastUsedNanoTime = System.nanoTime();
    /** Whether a valid request has arrived. */
    private volatile boolean sentRequest;
    /** The {@code System.nanoTime} at which the connection began to close, or 0. */
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

    void setHasSentRequest(boolean hasSent) {
        sentRequest = hasSent;
    }

    /** Records that the client has been sent an error after which its connection closes. */
    void markClosing() {
        closingSinceNanoTime = System.nanoTime();
    }

    boolean isClosing() {
        return closingSinceNanoTime != 0;
    }

    /** Returns the {@code System.nanoTime} at which the connection began to close, or 0. */
    long closingSinceNanoTime() {
        return closingSinceNanoTime;
    }
}
