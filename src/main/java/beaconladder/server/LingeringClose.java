package beaconladder.server;

/**
 * The end of a client's connection whose last answer has been written or is due: when it is closed, and whether by a
 * reset. A reset informs the client that some of its bytes were not handled. It would also destroy the answers that the
 * client's system has not received, so it waits for them. Used by the reader's thread.
 */
final class LingeringClose {
    /** How long a client's bytes are still read and discarded after the final error. */
    static final long LINGER_NANOS = 500_000_000L;
    /** How long a reset waits for a client that does not receive the answers before it. */
    static final long FLUSH_TIMEOUT_NANOS = 5_000_000_000L;
    /** How much is still read and discarded after the last answer, so that the client's own end is noticed. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    private int discardedBytes;
    /** Whether what arrives from now on is left unread. */
    private boolean leavesUnread;
    /** How long an orderly end that leaves bytes unread waits for a client that does not receive its answers. */
    private long maxFlushNanos;
    /** Whether bytes of the client were not handled, so that the connection ends by a reset. */
    private boolean resets;
    /** Whether the client has ended its side of the connection. */
    private boolean clientEnded;
    /** Whether the client has had its time, so that nothing more is waited for than the receipt of the answers. */
    private boolean lingerSkipped;
    /** Whether the selector is to report when the client's system has received all answers. */
    private boolean flushAwaited;

    private boolean flushed;

    /** Counts bytes that were discarded behind the last answer. */
    void onDiscarded(int bytes) {
        discardedBytes += bytes;
    }

    /** Records that bytes of the client were not handled. */
    void onUnhandledBytes() {
        resets = true;
    }

    /** Records that the client has ended its side, so that there is nothing more to read. */
    void onClientEnd() {
        clientEnded = true;
    }

    /**
     * Leaves unread what arrives from now on; the connection then closes as soon as its answers are received.
     *
     * @param maxNanos how long to wait for that at most, while nothing has arrived
     */
    void leaveUnread(long maxNanos) {
        leavesUnread = true;
        maxFlushNanos = maxNanos;
    }

    /** Closes the connection as soon as its answers are received, as its client has let a time limit pass. */
    void skipLinger() {
        lingerSkipped = true;
    }

    /** Whether what arrives is left unread. */
    boolean leavesUnread() {
        return leavesUnread;
    }

    /** Whether the selector is to report bytes that arrive while no query has to be answered. */
    boolean wantsRead() {
        if (clientEnded) {
            return false;
        }
        return leavesUnread ? !resets : discardedBytes < MAX_DISCARDED_BYTES;
    }

    /** Whether the connection ends by a reset. */
    boolean isReset() {
        return resets;
    }

    /** Whether the close has to wait for a report of the selector that was not requested yet. */
    boolean needsFlushReport() {
        return (resets || leavesUnread) && !flushAwaited;
    }

    /** Records that the selector was requested to report when all answers are received. */
    void onFlushReportRequested() {
        flushAwaited = true;
    }

    /** Records that the selector has reported that the client's system can receive more. */
    void onWritable() {
        flushed = flushAwaited;
    }

    /** Whether the selector has to report when all answers are received. */
    boolean awaitsFlush() {
        return flushAwaited && !flushed;
    }

    /** Whether the connection is to be closed this long after its last answer was written. */
    boolean isDue(long sinceLastAnswerNanos) {
        boolean lingered = clientEnded || leavesUnread || lingerSkipped || sinceLastAnswerNanos > LINGER_NANOS;
        boolean received = flushed || sinceLastAnswerNanos > (resets ? FLUSH_TIMEOUT_NANOS : maxFlushNanos);
        return lingered && received;
    }
}
