package beaconladder.discovery;

import java.util.SplittableRandom;

/**
 * The schedule for a discovery agent on the same machine. A change in discovery counts as notified after
 * {@link #NOTIFIED_MILLIS}, whatever happened to the calls; and when a discovery that was down returns, a change may
 * count at once, so that only the grace period of draining hosts remains.
 */
final class WatchSchedule implements DiscoverySchedule {
    /** The wait that a watch requests: a change that could not be fetched does not count until 2 s after that. */
    static final int REQUESTED_WAIT_MILLIS = 20_000;
    /**
     * How long the client waits at most. A watch that starts at t and is lost at once times out at t + 3,500 + 510 ms
     * (the usual timeout for a fast discovery, grace 2 s); the next call, with the timeout for a slow discovery, fails
     * by t + 5,510, and one more is answered before t + 6,000. For a slower discovery see {@link #nextCall}.
     */
    static final int WAIT_MILLIS = 3_500;

    private static final int MIN_WAIT_MILLIS = 500;
    /** Random reduction of a wait: routers whose watches started together must not call at the same time. */
    private static final int JITTER_MILLIS = 500;
    /** Agents answer within milliseconds; a router with a fraction of a core itself needs tens of milliseconds. */
    private static final int CALL_MILLIS = 500;

    private static final int MIN_TIMEOUT_MILLIS = 100;
    /** A process that has just started is slow itself: its first calls take several times as long as later ones. */
    static final int FIRST_MILLIS = 1_000;

    private static final int FIRST_CALLS = 2;
    /** The agent's list counts from a process's start, which therefore waits for it, for two such calls. */
    static final int START_MILLIS = FIRST_CALLS * FIRST_MILLIS;
    /** One in so many timed-out calls is longer, for a slow agent, but still fits into the grace with another. */
    private static final int LONG_CALL_INTERVAL = 12;
    /** One in so many, about one a minute, has the longest timeout, so that any answering agent is reached. */
    private static final int LONGEST_CALL_INTERVAL = 128;

    private static final int MIN_REST_MILLIS = 50;
    /** A watch that ends sooner without a change is followed by a rest, to prevent a busy loop. */
    private static final long MIN_WATCH_NANOS = 100_000_000;

    private final SplittableRandom random;
    private final int graceLimitMillis;
    /** The shortest timeout: a call that times out and one that is answered fit into the grace period. */
    private final int minTimeoutMillis;

    private int answerMillis;
    private int timeouts;
    private int backoffMillis;

    WatchSchedule(long graceMillis, long seed) {
        random = new SplittableRandom(seed);
        // With a longer grace the limit is the notification limit.
        graceLimitMillis = (int) Math.min(graceMillis, NOTIFIED_MILLIS / 3);
        minTimeoutMillis = Math.max(MIN_TIMEOUT_MILLIS, Math.min(CALL_MILLIS, graceLimitMillis / 2 - 25));
        reset();
    }

    @Override
    public void reset() {
        answerMillis = 0;
        timeouts = 0;
        backoffMillis = MIN_REST_MILLIS;
    }

    @Override
    public Call nextCall(boolean isWatching) {
        int responseMillis = answerMillis > 0 ? answerMillis : timeouts < FIRST_CALLS ? FIRST_MILLIS : minTimeoutMillis;
        if (!isWatching) {
            int timeoutMillis = Math.max(responseMillis, longTimeoutMillis());
            return new Call(0, timeoutMillis, timeoutMillis);
        }
        int longestWait = Math.min(WAIT_MILLIS, NOTIFIED_MILLIS - CALL_MILLIS / 2 - 3 * responseMillis);
        int waitMillis = Math.max(MIN_WAIT_MILLIS, longestWait) - random.nextInt(JITTER_MILLIS);
        return new Call(REQUESTED_WAIT_MILLIS, waitMillis + responseMillis, responseMillis);
    }

    /** The timeout of a call for a slow agent, or 0: few, as one that meets the end of an outage outlasts the grace. */
    private int longTimeoutMillis() {
        if (timeouts == 0
                || timeouts != 1 && timeouts % LONG_CALL_INTERVAL != 0 && timeouts % LONGEST_CALL_INTERVAL != 0) {
            return 0;
        }
        return answerMillis == 0 || timeouts % LONGEST_CALL_INTERVAL == 0
                ? MAX_CALL_MILLIS
                : Math.min(MAX_CALL_MILLIS, graceLimitMillis - minTimeoutMillis);
    }

    @Override
    public int onAnswer(Call call, long elapsedNanos, boolean changed) {
        backoffMillis = MIN_REST_MILLIS;
        timeouts = 0;
        if (call.waitMillis() == 0) {
            // The timeout adapts to a slow discovery, which would otherwise miss it in each call.
            answerMillis = (int) Math.min(MAX_CALL_MILLIS, minTimeoutMillis + elapsedNanos / 1_000_000);
        }
        return changed || call.waitMillis() == 0 || elapsedNanos >= MIN_WATCH_NANOS ? 0 : MIN_REST_MILLIS;
    }

    /** The next call follows immediately. */
    @Override
    public int onTimeout(Call call) {
        timeouts++;
        return 0;
    }

    @Override
    public int onFailure() {
        int backoff = backoffMillis;
        backoffMillis = Math.min(2 * backoffMillis, minTimeoutMillis);
        return backoff / 2 + random.nextInt(backoff / 2 + 1);
    }

    /** An agent on the same machine serves no other client: a rejection does not indicate an overload. */
    @Override
    public int onRejected(Call call) {
        return onFailure();
    }
}
