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
    /** The deepest call chains take some 10 KB of stack; the JVM touches 80 KB more below them. */
    private static final long STACK_BYTES = 256 * 1024;
    /** The resident memory of a thread with its connection, most of it stack. */
    private static final int THREAD_KB = 96;
    /** The process without its heap and the threads of clients: code, classes and the JVM's own structures. */
    private static final int PROCESS_MB = 64;

    private static final int BYTES_PER_MB = 1 << 20;
    /** Under load a thread is reused within milliseconds; each idle thread lengthens every JVM safepoint. */
    private static final int KEEP_ALIVE_SECONDS = 2;

    /** The least limit, however little memory is configured. */
    private static final int MIN_LIMIT = 64;

    private final AtomicInteger threadNumber = new AtomicInteger();
    private final AtomicInteger inUse = new AtomicInteger();
    private final ThreadPoolExecutor pool = new ThreadPoolExecutor(
            0, Integer.MAX_VALUE, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(), this::newThread);
    private final int maxThreads;

    ThreadLimit(int memoryMb) {
        int heapMb = (int) (Runtime.getRuntime().maxMemory() / BYTES_PER_MB);
        maxThreads = Math.max(MIN_LIMIT, (memoryMb - PROCESS_MB - heapMb) * 1024 / THREAD_KB);
    }

    /** The number of threads that may run at once, derived from the memory that the settings state. */
    int maxThreads() {
        return maxThreads;
    }

    /** Returns how many additional threads may start. */
    int freeThreads() {
        return maxThreads - inUse.get();
    }

    /** Creates a daemon thread that is not started and does not count towards the limit. */
    Thread newThread(Runnable task) {
        Thread thread = new Thread(null, task, "router-" + threadNumber.incrementAndGet(), STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** {@inheritDoc} The operating system may refuse a thread even below this process's own limit. */
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
            // Thread.start throws OutOfMemoryError where the operating system has no thread.
            inUse.decrementAndGet();
            LOG.warn("could not start a thread: {}", e.getMessage());
            return false;
        }
    }
}
