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
     * The timeout of the first call: in a process that has just started it takes several times as long as later ones.
     * It ends before the process serves clients.
     */
    static final int FIRST_CALL_TIMEOUT_MILLIS = 1_000;

    /** How long a starting process waits for the agent's list, which applies from its start. */
    static final int FIRST_LIST_TIMEOUT_MILLIS = 2_000;

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

    /** Whether the next call is the first to this address. */
    private boolean isFirstCall;

    private int consecutiveTimeouts;
    /** Those of them that were no watches, which also time out if nothing has changed. */
    private int consecutiveSilentCalls;

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
        isFirstCall = true;
        consecutiveTimeouts = 0;
        consecutiveSilentCalls = 0;
        backoffMillis = MIN_DELAY_MILLIS;
    }

    @Override
    public Call nextCall(boolean isWatching) {
        if (!isWatching) {
            int timeoutMillis = callTimeoutMillis();
            return new Call(0, timeoutMillis, timeoutMillis);
        }
        int responseMillis = learnedTimeoutMillis > 0 ? learnedTimeoutMillis : FIRST_CALL_TIMEOUT_MILLIS;
        int longestWaitMillis =
                Math.min(MAX_WAIT_MILLIS, NOTIFICATION_LIMIT_MILLIS - CALL_TIMEOUT_MILLIS / 2 - 3 * responseMillis);
        int waitMillis = Math.max(MIN_WAIT_MILLIS, longestWaitMillis) - random.nextInt(JITTER_MILLIS);
        return new Call(REQUESTED_WAIT_MILLIS, waitMillis + responseMillis, responseMillis);
    }

    /**
     * Returns the timeout of a call without a wait. A call in flight at the end of an outage stays silent, so that a
     * call that times out and a successful one have to fit into the grace period together. The first call after a
     * silent watch leaves just the time for a successful one: it is usually the watch that had nothing to report.
     */
    private int callTimeoutMillis() {
        if (isFirstCall) {
            return FIRST_CALL_TIMEOUT_MILLIS;
        }
        int longestMillis = Math.max(minTimeoutMillis, graceLimitMillis - minTimeoutMillis);
        if (consecutiveTimeouts == 1 && learnedTimeoutMillis > 0) {
            return longestMillis;
        }
        return Math.max(minTimeoutMillis, Math.min(learnedTimeoutMillis, longestMillis));
    }

    /**
     * Returns a call with the longest timeout for an agent that is slower than the grace period allows: after a silent
     * call, and after a silent watch if the agent is known to be that slow.
     */
    @Override
    public Call patientCall() {
        boolean isSlowAgent = consecutiveTimeouts > 0 && learnedTimeoutMillis - minTimeoutMillis >= callTimeoutMillis();
        return consecutiveSilentCalls > 0 || isSlowAgent ? new Call(0, MAX_CALL_MILLIS, MAX_CALL_MILLIS) : null;
    }

    @Override
    public int onResponse(Call call, long elapsedNanos, boolean changed) {
        backoffMillis = MIN_DELAY_MILLIS;
        isFirstCall = false;
        consecutiveTimeouts = 0;
        consecutiveSilentCalls = 0;
        if (call.waitMillis() == 0) {
            // Adapts the timeout to a slow discovery, whose responses would otherwise all be too late.
            learnedTimeoutMillis = (int) Math.min(MAX_CALL_MILLIS, minTimeoutMillis + elapsedNanos / 1_000_000);
        }
        return changed || call.waitMillis() == 0 || elapsedNanos >= MIN_WATCH_NANOS ? 0 : MIN_DELAY_MILLIS;
    }

    /** Records a timeout; the next call follows immediately. */
    @Override
    public int onTimeout(Call call) {
        isFirstCall = false;
        consecutiveTimeouts++;
        consecutiveSilentCalls += call.waitMillis() == 0 ? 1 : 0;
        return 0;
    }

    @Override
    public int onFailure() {
        isFirstCall = false;
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
