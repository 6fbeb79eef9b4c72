package beaconladder.testbed;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Threads of stand-ins: they end with the program, and with the connections they serve. */
public final class StandInThreads {
    /** Something that ends when its connection does. */
    public interface Task {
        void run() throws IOException, InterruptedException;
    }

    private StandInThreads() {}

    public static Thread spawn(Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // The other side, or the scenario, has ended it.
                    }
                },
                "lab",
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Waits for the end of a thread, so long at the most. */
    public static void join(Thread thread, long millis) {
        try {
            thread.join(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
