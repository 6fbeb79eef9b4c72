package beaconladder.server;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sleeps until the desk's rounds are due by themselves, and has them played then. */
final class WakeupTimer implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(WakeupTimer.class);
    /** It rests at least so long between two looks, so that it can't spin. */
    private static final long SHORTEST_REST_MILLIS = 1;

    private final RequestDispatcher desk;
    private final ReentrantLock lock;
    private final Condition sooner;
    private long until = Long.MAX_VALUE;
    private volatile boolean stopped;

    WakeupTimer(RequestDispatcher desk, ReentrantLock lock) {
        this.desk = desk;
        this.lock = lock;
        this.sooner = lock.newCondition();
    }

    /** The rounds are due then; under the lock. */
    void due(long next) {
        if (next < until) {
            sooner.signal();
        }
        until = next;
    }

    @Override
    public void run() {
        while (!stopped) {
            try {
                if (due()) {
                    desk.applyEvent(now -> {});
                    Thread.sleep(SHORTEST_REST_MILLIS);
                }
            } catch (InterruptedException e) {
                stopped = true;
            } catch (RuntimeException | Error e) {
                LOG.error("the timer goes on after a fault", e);
            }
        }
    }

    private boolean due() throws InterruptedException {
        lock.lock();
        try {
            long left = until - desk.nowNanos();
            if (left > 0) {
                sooner.awaitNanos(left);
            }
            return until <= desk.nowNanos();
        } finally {
            lock.unlock();
        }
    }

    void stop() {
        stopped = true;
    }
}
