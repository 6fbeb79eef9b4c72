package beaconladder.discovery;

import java.util.SplittableRandom;

/**
 * The schedule for a discovery agent on the same machine. A change in discovery counts as notified after
 * {@link #NOTIFICATION_LIMIT_MILLIS}, even if calls failed in the meantime. When discovery returns after an outage, a
 * change may count at once; then only the grace period of draining hosts remains to fetch it.
 */
final class WatchSchedule implements DiscoverySchedule {
    /** The wait that a watch requests: a change that it misses does not count as notified until 2 s after this wait. */
    static final int REQUESTED_WAIT_MILLIS = 20_000;
    /**
     * The longest time that the client itself waits for a change. A watch that starts at t and whose connection is lost
     * at once times out at t + 3,500 + 510 ms (the usual timeout for a fast discovery, grace 2 s). The next call, with
     * the timeout for a slow discovery, fails by t + 5,510, and one more receives its response before t + 6,000. For a
     * slower discovery the wait is shorter, see {@link #nextCall}.
     */
    static final int MAX_WAIT_MILLIS = 3_500;

    private static final int MIN_WAIT_MILLIS = 500;
    /** Random reduction of a wait: routers whose watches started together should not call at the same time. */
    private static final int JITTER_MILLIS = 500;
    /** Agents respond within milliseconds, but a router with a fraction of a core needs tens of milliseconds itself. */
    private static final int CALL_TIMEOUT_MILLIS = 500;

    private static final int MIN_TIMEOUT_MILLIS = 100;
    /**
     * The timeout of the first calls: in a process that has just started they take several times as long as later ones.
     */
    static final int FIRST_CALL_TIMEOUT_MILLIS = 1_000;

    private static final int FIRST_CALL_COUNT = 2;
    /** How long a starting process waits for the agent's list, which applies from its start: two such calls. */
    static final int FIRST_LIST_TIMEOUT_MILLIS = FIRST_CALL_COUNT * FIRST_CALL_TIMEOUT_MILLIS;
    /**
     * One in 12 timed-out calls has a longer timeout, for a slow agent; it fits into the grace together with another.
     */
    private static final int LONG_CALL_INTERVAL = 12;
    /**
     * One in 128 timed-out calls, about one a minute, has the longest timeout, so that any responsive agent is reached.
     */
    private static final int LONGEST_CALL_INTERVAL = 128;

    private static final int MIN_DELAY_MILLIS = 50;
    /** How much shorter than half the grace period the shortest timeout is. */
    private static final int GRACE_MARGIN_MILLIS = 25;
    /** A watch that ends sooner without a change is followed by a delay, to prevent a busy loop. */
    private static final long MIN_WATCH_NANOS = 100_000_000;

    private final SplittableRandom random;
    private final int graceLimitMillis;
    /** The shortest timeout: a call that times out and a successful one fit into the grace period together. */
    private final int minTimeoutMillis;

    /** The timeout learned from the last immediate response; 0 before the first. */
    private int learnedTimeoutMillis;

    private int consecutiveTimeouts;
    private int backoffMillis;

    WatchSchedule(long graceMillis, long seed) {
        random = new SplittableRandom(seed);
        // With a longer grace period the notification limit is the stricter one.
        graceLimitMillis = (int) Math.min(graceMillis, NOTIFICATION_LIMIT_MILLIS / 3);
        minTimeoutMillis =
                Math.max(MIN_TIMEOUT_MILLIS, Math.min(CALL_TIMEOUT_MILLIS, graceLimitMillis / 2 - GRACE_MARGIN_MILLIS));
        reset();
    }

    @Override
    public void reset() {
        learnedTimeoutMillis = 0;
        consecutiveTimeouts = 0;
        backoffMillis = MIN_DELAY_MILLIS;
    }

    @Override
    public Call nextCall(boolean isWatching) {
        int responseMillis = learnedTimeoutMillis > 0
                ? learnedTimeoutMillis
                : consecutiveTimeouts < FIRST_CALL_COUNT ? FIRST_CALL_TIMEOUT_MILLIS : minTimeoutMillis;
        if (!isWatching) {
            int timeoutMillis = Math.max(responseMillis, longTimeoutMillis());
            return new Call(0, timeoutMillis, timeoutMillis);
        }
        int longestWaitMillis =
                Math.min(MAX_WAIT_MILLIS, NOTIFICATION_LIMIT_MILLIS - CALL_TIMEOUT_MILLIS / 2 - 3 * responseMillis);
        int waitMillis = Math.max(MIN_WAIT_MILLIS, longestWaitMillis) - random.nextInt(JITTER_MILLIS);
        return new Call(REQUESTED_WAIT_MILLIS, waitMillis + responseMillis, responseMillis);
    }

    /**
     * Returns the longer timeout of a call for a slow agent, or 0. Only a few calls have one, as a call in flight at
     * the end of an outage could then outlast the grace period.
     */
    private int longTimeoutMillis() {
        if (consecutiveTimeouts == 0
                || consecutiveTimeouts != 1
                        && consecutiveTimeouts % LONG_CALL_INTERVAL != 0
                        && consecutiveTimeouts % LONGEST_CALL_INTERVAL != 0) {
            return 0;
        }
        return learnedTimeoutMillis == 0 || consecutiveTimeouts % LONGEST_CALL_INTERVAL == 0
                ? MAX_CALL_MILLIS
                : Math.min(MAX_CALL_MILLIS, graceLimitMillis - minTimeoutMillis);
    }

    @Override
    public int onResponse(Call call, long elapsedNanos, boolean changed) {
        backoffMillis = MIN_DELAY_MILLIS;
        consecutiveTimeouts = 0;
        if (call.waitMillis() == 0) {
            // Adapts the timeout to a slow discovery, whose responses would otherwise all be too late.
            learnedTimeoutMillis = (int) Math.min(MAX_CALL_MILLIS, minTimeoutMillis + elapsedNanos / 1_000_000);
        }
        return changed || call.waitMillis() == 0 || elapsedNanos >= MIN_WATCH_NANOS ? 0 : MIN_DELAY_MILLIS;
    }

    /** Records a timeout; the next call follows immediately. */
    @Override
    public int onTimeout(Call call) {
        consecutiveTimeouts++;
        return 0;
    }

    @Override
    public int onFailure() {
        int backoff = backoffMillis;
        backoffMillis = Math.min(2 * backoffMillis, minTimeoutMillis);
        return backoff / 2 + random.nextInt(backoff / 2 + 1);
    }

    /** Records a rejection as a failure: the agent serves no other client, so it does not indicate an overload. */
    @Override
    public int onRejected(Call call) {
        return onFailure();
    }
}
