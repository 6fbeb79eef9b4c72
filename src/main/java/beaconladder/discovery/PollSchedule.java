package beaconladder.discovery;

import java.util.SplittableRandom;

/**
 * The schedule for a discovery that is one service of fixed capacity for all routers: every call costs it work, also
 * one that has timed out at the client. So timeouts are long; after a rejection the backoff grows, with jitter, and
 * watches become longer; and while there are no rejections, a watch that was lost is detected before its changes count.
 */
final class PollSchedule implements DiscoverySchedule {
    /** A lost watch of this length and the call after it are over before the changes it missed count as notified. */
    private static final int WAIT_MILLIS = 3_000;
    /** The longest wait that the protocol permits. */
    private static final int MAX_WAIT_MILLIS = 60_000;
    /** Random extension of a watch: routers that started together must not call at the same time. */
    private static final int JITTER_MILLIS = 500;
    /** Added to the duration of the last answer, as this process itself may be slow. */
    private static final int MARGIN_MILLIS = 500;
    /** Time for a call that is queued at discovery, and for one after it, before missed changes count as notified. */
    private static final int QUEUE_MILLIS = NOTIFIED_MILLIS - WAIT_MILLIS - JITTER_MILLIS - MARGIN_MILLIS;
    /** Upper bound of the first backoff after a rejection: its mean is the duration of a queued call. */
    private static final int REJECTED_MILLIS = 500;
    /** Doublings of that bound that still leave time for one more call before changes count as notified. */
    private static final int DOUBLINGS = 3;
    /** After so many rejections the overload takes precedence: the bound doubles again, up to the configured limit. */
    private static final int OVERLOAD_REJECTIONS = 10;
    /** The longest backoff and watch, in configured periods. */
    private static final int MAX_PERIODS = 4;
    /**
     * Bound of the first backoff after a failure, which the complete fleet may have seen: it leaves time for two calls.
     */
    private static final int FAILURE_MILLIS = 1_000;

    private static final int MAX_FAILURE_MILLIS = NOTIFIED_MILLIS - MAX_CALL_MILLIS;
    /**
     * After so many failures in a row, over half a minute, an overload is assumed and the configured period applies.
     */
    private static final int MAX_COUNTED = 16;
    /** How much a watch is shortened after each one without a change: two minutes after one rejection all are reset. */
    private static final int WAIT_DECREASE_MILLIS = 200;
    /** A watch that ends sooner without a change is followed by a rest, to prevent a busy loop. */
    private static final long MIN_WATCH_NANOS = 100_000_000;

    private final SplittableRandom random;
    private final int periodMillis;
    private final int maxWatchMillis;
    private int watchMillis;
    private int latencyMillis;
    private int rejections;
    private int failures;
    private boolean isRepeated;

    /**
     * A schedule for a discovery of which nothing is known.
     *
     * @param everyMillis the configured period for clients without a watch
     * @param seed for jitter and backoff
     */
    PollSchedule(long everyMillis, long seed) {
        random = new SplittableRandom(seed);
        periodMillis = (int) Math.max(WAIT_MILLIS, Math.min(everyMillis, MAX_WAIT_MILLIS));
        maxWatchMillis = Math.min(MAX_WAIT_MILLIS, MAX_PERIODS * periodMillis);
        reset();
    }

    @Override
    public void reset() {
        watchMillis = WAIT_MILLIS;
        latencyMillis = 0;
        rejections = 0;
        failures = 0;
        isRepeated = false;
    }

    @Override
    public Call nextCall(boolean isWatching) {
        // A rejected watch has missed nothing yet: it is repeated as a watch, which saves fetching the complete list.
        if (!isWatching && !isRepeated) {
            return new Call(0, MAX_CALL_MILLIS, MAX_CALL_MILLIS);
        }
        // A repeated watch may be queued; while watches are short, its loss is still detected in time.
        int waitMillis = (isRepeated && watchMillis <= 2 * WAIT_MILLIS ? WAIT_MILLIS : watchMillis)
                + random.nextInt(JITTER_MILLIS);
        int responseMillis = isRepeated ? QUEUE_MILLIS : Math.min(MAX_CALL_MILLIS, MARGIN_MILLIS + latencyMillis);
        return new Call(waitMillis, waitMillis + responseMillis, responseMillis);
    }

    @Override
    public int onAnswer(Call call, long elapsedNanos, boolean changed) {
        // One answer does not show that the overload is over.
        rejections /= 2;
        failures = 0;
        isRepeated = false;
        if (call.waitMillis() == 0 || !changed) {
            latencyMillis = (int) Math.max(0, Math.min(MAX_CALL_MILLIS, elapsedNanos / 1_000_000 - call.waitMillis()));
        }
        if (call.waitMillis() == 0 || changed) {
            return 0;
        }
        watchMillis = Math.max(WAIT_MILLIS, watchMillis - WAIT_DECREASE_MILLIS);
        return elapsedNanos >= MIN_WATCH_NANOS ? 0 : random.nextInt(FAILURE_MILLIS);
    }

    @Override
    public int onTimeout(Call call) {
        isRepeated = false;
        // A watch that timed out has used up its time; the next call shows whether discovery is unreachable.
        return call.waitMillis() > 0 ? 0 : onFailure();
    }

    @Override
    public int onFailure() {
        isRepeated = false;
        int boundMillis =
                failures >= MAX_COUNTED ? periodMillis : Math.min(MAX_FAILURE_MILLIS, FAILURE_MILLIS << failures);
        failures = Math.min(MAX_COUNTED, failures + 1);
        return random.nextInt(boundMillis);
    }

    @Override
    public int onRejected(Call call) {
        if (call.waitMillis() > 0 && !isRepeated) {
            // Only once for each watch, however often it is rejected: the load to reduce is that of running watches.
            watchMillis = Math.min(maxWatchMillis, 2 * watchMillis);
            isRepeated = true;
        }
        int usualMillis = REJECTED_MILLIS << Math.min(rejections, DOUBLINGS);
        int boundMillis =
                Math.min(MAX_PERIODS * periodMillis, usualMillis << Math.max(0, rejections - OVERLOAD_REJECTIONS));
        rejections = Math.min(MAX_COUNTED, rejections + 1);
        return random.nextInt(boundMillis);
    }
}
