package beaconladder.server;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The router's threads, and how many more of them its memory has room for. */
final class ThreadLimit implements TaskStarter {
    private static final Logger LOG = LoggerFactory.getLogger(ThreadLimit.class);
    /** The deepest calls here take some ten kilobytes; the JVM touches eighty more below them. */
    private static final long STACK = 256 * 1024;
    /** A thread with its connection was measured at 95 KB resident, 72 of them stack. */
    private static final int THREAD_KB = 96;
    /** The program alone was measured at 47 MB; as much again is left for large values in the heap. */
    private static final int PROGRAM_MB = 96;
    /** Under load a thread is used again within milliseconds; each one that idles costs at every stop. */
    private static final int KEPT_SECONDS = 2;

    private static final int FEWEST = 64;

    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger inUse = new AtomicInteger();
    private final ThreadPoolExecutor pool = new ThreadPoolExecutor(
            0, Integer.MAX_VALUE, KEPT_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(), this::newThread);
    private final int most;

    ThreadLimit(int memoryMb) {
        most = Math.max(FEWEST, (memoryMb - PROGRAM_MB) * 1024 / THREAD_KB);
    }

    /** How many there may be at once, by the memory stated. */
    int maxThreads() {
        return most;
    }

    /** Whether so many more may start. */
    boolean hasCapacity(int more) {
        return inUse.get() + more <= most;
    }

    Thread newThread(Runnable task) {
        Thread thread = new Thread(null, task, "router-" + number.incrementAndGet(), STACK);
        thread.setDaemon(true);
        return thread;
    }

    /** A limit of the machine can be met at any time, whatever this program counts. */
    @Override
    public boolean tryExecute(Runnable task) {
        inUse.incrementAndGet();
        try {
            pool.execute(() -> {
                try {
                    task.run();
                } finally {
                    inUse.decrementAndGet();
                }
            });
            return true;
        } catch (OutOfMemoryError | RejectedExecutionException e) {
            // Thread.start tells a thread that can't be had as memory that can't.
            inUse.decrementAndGet();
            LOG.warn("no thread could be started: {}", e.getMessage());
            return false;
        }
    }
}
