package beaconladder.discovery;

import java.util.SplittableRandom;

/**
 * The schedule for a discovery that is one service of fixed capacity for all routers. Every call costs it work, even
 * one that has timed out at the client, so timeouts are long. After a rejection the backoff grows, with jitter, and
 * watches become longer. While there are no rejections, a lost watch is detected before the changes it missed count as
 * notified.
 */
final class PollSchedule implements DiscoverySchedule {
    /**
     * The shortest wait of a watch. If such a watch is lost, it has timed out and the next call is complete before the
     * changes it missed count as notified.
     */
    private static final int MIN_WAIT_MILLIS = 3_000;
    /** The longest wait that the protocol permits. */
    private static final int MAX_WAIT_MILLIS = 60_000;
    /** Random extension of a watch: routers that started together should not call at the same time. */
    private static final int JITTER_MILLIS = 500;
    /** Added to the latency of the last response, as this process itself may be slow. */
    private static final int LATENCY_MARGIN_MILLIS = 500;
    /**
     * The response limit of a retried watch: time for a call that is queued at discovery and for the call after it,
     * before missed changes count as notified.
     */
    private static final int QUEUED_RESPONSE_MILLIS =
            NOTIFICATION_LIMIT_MILLIS - MIN_WAIT_MILLIS - JITTER_MILLIS - LATENCY_MARGIN_MILLIS;
    /** Upper bound of the first backoff after a rejection; the mean backoff is the duration of a queued call. */
    private static final int REJECTION_BACKOFF_MILLIS = 500;
    /** How often that bound doubles at first: time for one more call remains before changes count as notified. */
    private static final int INITIAL_DOUBLINGS = 3;
    /**
     * After this many rejections reducing the load takes precedence: the bound doubles again, up to
     * {@link #MAX_PERIODS}.
     */
    private static final int OVERLOAD_REJECTIONS = 10;
    /** The longest backoff and watch, in configured periods. */
    private static final int MAX_PERIODS = 4;
    /**
     * Upper bound of the first backoff after a failure, which may have affected the complete fleet; it leaves time for
     * two calls.
     */
    private static final int FAILURE_BACKOFF_MILLIS = 1_000;

    private static final int MAX_FAILURE_BACKOFF_MILLIS = NOTIFICATION_LIMIT_MILLIS - MAX_CALL_MILLIS;
    /**
     * Limit of the counters of rejections and failures. This many failures in a row take over half a minute; then an
     * overload is assumed, and the configured period bounds the backoff.
     */
    private static final int COUNTER_LIMIT = 16;
    /**
     * How much the wait decreases after each watch without a change: two minutes after one rejection it is back at its
     * minimum.
     */
    private static final int WAIT_DECREASE_MILLIS = 200;
    /** A watch that ends sooner without a change is followed by a delay, to prevent a busy loop. */
    private static final long MIN_WATCH_NANOS = 100_000_000;

    private final SplittableRandom random;
    private final int periodMillis;
    private final int maxWatchWaitMillis;
    private int watchWaitMillis;
    private int latencyMillis;
    private int rejections;
    private int consecutiveFailures;
    private boolean isRetryingWatch;

    /**
     * Creates a schedule for a discovery of which nothing is known.
     *
     * @param configuredPeriodMillis the configured period for clients that poll without a wait, in milliseconds
     * @param seed the seed of the jitter and the backoff
     */
    PollSchedule(long configuredPeriodMillis, long seed) {
        random = new SplittableRandom(seed);
        periodMillis = (int) Math.max(MIN_WAIT_MILLIS, Math.min(configuredPeriodMillis, MAX_WAIT_MILLIS));
        maxWatchWaitMillis = Math.min(MAX_WAIT_MILLIS, MAX_PERIODS * periodMillis);
        reset();
    }

    @Override
    public void reset() {
        watchWaitMillis = MIN_WAIT_MILLIS;
        latencyMillis = 0;
        rejections = 0;
        consecutiveFailures = 0;
        isRetryingWatch = false;
    }

    @Override
    public Call nextCall(boolean isWatching) {
        // A rejected watch has missed nothing yet: it is retried as a watch, which saves fetching the complete list.
        if (!isWatching && !isRetryingWatch) {
            return new Call(0, MAX_CALL_MILLIS, MAX_CALL_MILLIS);
        }
        // A retried watch may be queued; while watches are short, its loss is still detected in time.
        int waitMillis = (isRetryingWatch && watchWaitMillis <= 2 * MIN_WAIT_MILLIS ? MIN_WAIT_MILLIS : watchWaitMillis)
                + random.nextInt(JITTER_MILLIS);
        int responseMillis = isRetryingWatch
                ? QUEUED_RESPONSE_MILLIS
                : Math.min(MAX_CALL_MILLIS, LATENCY_MARGIN_MILLIS + latencyMillis);
        return new Call(waitMillis, waitMillis + responseMillis, responseMillis);
    }

    @Override
    public int onResponse(Call call, long elapsedNanos, boolean changed) {
        // One successful call does not show that the overload is over.
        rejections /= 2;
        consecutiveFailures = 0;
        isRetryingWatch = false;
        if (call.waitMillis() == 0 || !changed) {
            latencyMillis = (int) Math.max(0, Math.min(MAX_CALL_MILLIS, elapsedNanos / 1_000_000 - call.waitMillis()));
        }
        if (call.waitMillis() == 0 || changed) {
            return 0;
        }
        watchWaitMillis = Math.max(MIN_WAIT_MILLIS, watchWaitMillis - WAIT_DECREASE_MILLIS);
        return elapsedNanos >= MIN_WATCH_NANOS ? 0 : random.nextInt(FAILURE_BACKOFF_MILLIS);
    }

    @Override
    public int onTimeout(Call call) {
        isRetryingWatch = false;
        // The watch has already waited, so no backoff is due; the next call shows whether discovery is reachable.
        return call.waitMillis() > 0 ? 0 : onFailure();
    }

    @Override
    public int onFailure() {
        isRetryingWatch = false;
        int boundMillis = consecutiveFailures >= COUNTER_LIMIT
                ? periodMillis
                : Math.min(MAX_FAILURE_BACKOFF_MILLIS, FAILURE_BACKOFF_MILLIS << consecutiveFailures);
        consecutiveFailures = Math.min(COUNTER_LIMIT, consecutiveFailures + 1);
        return random.nextInt(boundMillis);
    }

    @Override
    public int onRejected(Call call) {
        if (call.waitMillis() > 0 && !isRetryingWatch) {
            // Only once for each watch, however often it is rejected: the load to reduce is that of running watches.
            watchWaitMillis = Math.min(maxWatchWaitMillis, 2 * watchWaitMillis);
            isRetryingWatch = true;
        }
        int initialBoundMillis = REJECTION_BACKOFF_MILLIS << Math.min(rejections, INITIAL_DOUBLINGS);
        int boundMillis = Math.min(
                MAX_PERIODS * periodMillis, initialBoundMillis << Math.max(0, rejections - OVERLOAD_REJECTIONS));
        rejections = Math.min(COUNTER_LIMIT, rejections + 1);
        return random.nextInt(boundMillis);
    }
}
