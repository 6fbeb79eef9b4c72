package beaconladder.server;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts threads that the process can't do without, although the operating system may have none for a moment. */
public final class RequiredThread {
    private static final Logger LOG = LoggerFactory.getLogger(RequiredThread.class);
    /** With the pause between them, the attempts take five seconds. */
    private static final int MAX_ATTEMPTS = 250;

    private static final int RETRY_DELAY_MILLIS = 20;

    private RequiredThread() {}

    /**
     * Starts a thread and returns it; a thread that could not be started is created anew for the next attempt.
     *
     * @throws OutOfMemoryError if no attempt succeeds
     */
    public static Thread start(Supplier<Thread> newThread) throws InterruptedException {
        return start(newThread, Thread::start);
    }

    /** Does the same with another way to start a thread. */
    static Thread start(Supplier<Thread> newThread, Consumer<Thread> starter) throws InterruptedException {
        for (int attempt = 1; ; attempt++) {
            Thread thread = newThread.get();
            try {
                starter.accept(thread);
                return thread;
            } catch (OutOfMemoryError e) {
                if (attempt == MAX_ATTEMPTS) {
                    throw e;
                }
                if (attempt == 1) {
                    LOG.warn("could not start a required thread, retrying: {}", e.getMessage());
                }
                Thread.sleep(RETRY_DELAY_MILLIS);
            }
        }
    }
}
