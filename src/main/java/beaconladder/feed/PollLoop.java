package beaconladder.feed;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** A task that polls one upstream after the other until it is closed. */
abstract class PollLoop implements Runnable, AutoCloseable {
    private volatile boolean closed;

    /** One poll and what follows from its response. */
    abstract void poll() throws IOException;

    /** The poll failed: selects another upstream, and pauses where none is left. */
    abstract void onFailure(Exception cause);

    /** Closes the connections, which also interrupts a poll in progress. */
    abstract void closeConnections();

    /** Releases what the loop's thread uses; called by that thread after the last poll. */
    abstract void release();

    @Override
    public final void run() {
        while (!closed) {
            try {
                poll();
            } catch (IOException | RuntimeException e) {
                onFailure(e);
            }
        }
        release();
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
