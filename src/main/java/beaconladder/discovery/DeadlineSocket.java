package beaconladder.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** A socket whose reads share one deadline: a timeout per read would not bound a call whose bytes arrive slowly. */
final class DeadlineSocket extends Socket {
    private static final int NANOS_PER_MILLI = 1_000_000;

    private volatile long deadlineNanos;
    private volatile long responseNanos;
    private volatile boolean hasResponseStarted;

    /**
     * Sets the deadline and the response limit of the next call.
     *
     * @param callDeadlineNanos when the call has to end, on System.nanoTime's clock
     * @param callResponseNanos how long the response may take from its first byte on
     */
    void startCall(long callDeadlineNanos, long callResponseNanos) {
        deadlineNanos = callDeadlineNanos;
        responseNanos = callResponseNanos;
        hasResponseStarted = false;
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return new DeadlineInputStream(super.getInputStream(), this);
    }

    /** Applies the response limit from the first byte on: a response that stalls is not worth the full timeout. */
    void onBytesRead() {
        if (!hasResponseStarted) {
            hasResponseStarted = true;
            deadlineNanos = Math.min(deadlineNanos, System.nanoTime() + responseNanos);
        }
    }

    /**
     * Lets the next read wait for the rest of the time.
     *
     * @throws SocketTimeoutException if no time is left
     */
    void setRemainingTimeout() throws IOException {
        long remainingMillis = (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
        if (remainingMillis <= 0) {
            throw new SocketTimeoutException("no whole answer in time");
        }
        setSoTimeout((int) remainingMillis);
    }
}
