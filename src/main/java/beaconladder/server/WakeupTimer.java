package beaconladder.server;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the decision loop at the times at which a decision is due without an event. */
final class WakeupTimer implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(WakeupTimer.class);
    /** Lower bound of the pause between two runs, so that the timer can't busy-loop. */
    private static final long MIN_PAUSE_MILLIS = 1;

    private final RequestDispatcher dispatcher;
    private final ReentrantLock lock;
    /** Signalled when the next run is moved to an earlier time. */
    private final Condition earlier;
    /** When the decision loop is due, in Unix nanoseconds of the dispatcher's clock; guarded by the lock. */
    private long dueNanos = Long.MAX_VALUE;

    private volatile boolean stopped;

    WakeupTimer(RequestDispatcher dispatcher, ReentrantLock lock) {
        this.dispatcher = dispatcher;
        this.lock = lock;
        this.earlier = lock.newCondition();
    }

    /** Sets when the decision loop is due, in Unix nanoseconds. The caller must hold the lock. */
    void schedule(long nextNanos) {
        if (nextNanos < dueNanos) {
            earlier.signal();
        }
        dueNanos = nextNanos;
    }

    @Override
    public void run() {
        while (!stopped) {
            try {
                if (awaitDue()) {
                    dispatcher.applyEvent(now -> {});
                    Thread.sleep(MIN_PAUSE_MILLIS);
                }
            } catch (InterruptedException e) {
                stopped = true;
            } catch (RuntimeException | Error e) {
                LOG.error("the timer continues after an internal error", e);
            }
        }
    }

    private boolean awaitDue() throws InterruptedException {
        lock.lock();
        try {
            long remainingNanos = dueNanos - dispatcher.nowNanos();
            if (remainingNanos > 0) {
                earlier.awaitNanos(remainingNanos);
            }
            return dueNanos <= dispatcher.nowNanos();
        } finally {
            lock.unlock();
        }
    }

    void stop() {
        stopped = true;
    }
}
