package beaconladder.testbed;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Starts the daemon threads of stand-ins; each ends with the program, or with the connection that it serves. */
public final class StandInThreads {
    private static final long STACK_BYTES = 256 * 1024;

    /** The work of a thread; an exception of these types, such as from a closed connection, ends the thread. */
    public interface Task {
        void run() throws IOException, InterruptedException;
    }

    private StandInThreads() {}

    /** Starts a task on a new daemon thread. */
    public static Thread spawn(Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // The other side or the scenario has closed the connection or interrupted the thread.
                    }
                },
                "lab",
                STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Waits for the end of a thread for at most this time; an interrupt ends the wait and stays set. */
    public static void join(Thread thread, long millis) {
        try {
            thread.join(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sleeps; an interrupt ends the sleep and stays set. */
    public static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
