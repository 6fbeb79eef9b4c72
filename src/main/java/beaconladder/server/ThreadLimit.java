package beaconladder.server;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The router's threads, and how many of them its memory allows. */
final class ThreadLimit implements TaskStarter {
    private static final Logger LOG = LoggerFactory.getLogger(ThreadLimit.class);
    /** The deepest calls here take some ten kilobytes; the JVM touches eighty more below them. */
    private static final long STACK_BYTES = 256 * 1024;
    /** A thread with its connection was measured at 95 KB resident, 72 of them stack. */
    private static final int THREAD_KB = 96;
    /** The process alone was measured at 47 MB; as much again is left for large values in the heap. */
    private static final int PROCESS_MB = 96;
    /** Under load a thread is reused within milliseconds; each idle one lengthens every JVM safepoint. */
    private static final int KEEP_ALIVE_SECONDS = 2;

    /** The limit is at least this, however little memory is configured. */
    private static final int MIN_LIMIT = 64;

    private final AtomicInteger threadNumber = new AtomicInteger();
    private final AtomicInteger inUse = new AtomicInteger();
    private final ThreadPoolExecutor pool = new ThreadPoolExecutor(
            0, Integer.MAX_VALUE, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(), this::newThread);
    private final int maxThreads;

    ThreadLimit(int memoryMb) {
        maxThreads = Math.max(MIN_LIMIT, (memoryMb - PROCESS_MB) * 1024 / THREAD_KB);
    }

    /** How many threads may run at once, by the memory that the settings state. */
    int maxThreads() {
        return maxThreads;
    }

    /** Whether this many more threads may start. */
    boolean hasCapacity(int more) {
        return inUse.get() + more <= maxThreads;
    }

    /** A daemon thread, not yet started, outside the limit. */
    Thread newThread(Runnable task) {
        Thread thread = new Thread(null, task, "router-" + threadNumber.incrementAndGet(), STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Fails where the operating system has no thread, which can happen below this process's own limit. */
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
            // Thread.start reports that no thread is available as OutOfMemoryError.
            inUse.decrementAndGet();
            LOG.warn("no thread could be started: {}", e.getMessage());
            return false;
        }
    }
}
