package beaconladder.feed;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** A task that polls one upstream after the other until it is closed. */
abstract class PollLoop implements Runnable, AutoCloseable {
    private volatile boolean closed;

    /** Polls the current upstream once and processes the response. */
    abstract void poll() throws IOException;

    /** Selects another upstream after a failed poll, and pauses after all of them have failed. */
    abstract void onFailure(Exception cause);

    /** Closes the connections, which also ends a poll in progress. */
    abstract void closeConnections();

    /** Releases the resources that the loop's thread uses; called by that thread after the last poll. */
    abstract void releaseResources();

    @Override
    public final void run() {
        while (!closed) {
            try {
                poll();
            } catch (IOException | RuntimeException e) {
                onFailure(e);
            }
        }
        releaseResources();
    }

    final boolean isClosed() {
        return closed;
    }

    /** Sleeps; an interrupt closes the loop. */
    final void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            closed = true;
        }
    }

    /** Ends the loop, also while a poll is in progress. */
    @Override
    public final void close() {
        closed = true;
        closeConnections();
    }
}
