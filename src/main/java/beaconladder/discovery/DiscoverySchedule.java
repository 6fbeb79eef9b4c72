package beaconladder.discovery;

/**
 * When discovery is called next, and how long each call may take: a strategy for agents and one for a shared service.
 */
interface DiscoverySchedule {
    /** The protocol's limit: so long after discovery has a change, a router counts as notified of it. */
    int NOTIFIED_MILLIS = 6_000;
    /** Calls of more than half the notification limit would leave no time for the changes behind a complete list. */
    int MAX_CALL_MILLIS = 2_500;

    /**
     * One call.
     *
     * @param waitMillis how long discovery may wait for a change before it answers; 0 for an immediate answer
     * @param timeoutMillis after how long the call times out
     * @param responseMillis the limit from the first byte of the answer to its last
     */
    record Call(int waitMillis, int timeoutMillis, int responseMillis) {}

    /** Forgets everything learned about the previous address. */
    void reset();

    /**
     * The next call.
     *
     * @param isWatching whether the previous call was answered, so that this one may wait for changes
     */
    Call nextCall(boolean isWatching);

    /**
     * A call was answered.
     *
     * @param changed whether the answer has a new version
     * @return milliseconds to rest before the next call, as for all methods below
     */
    int onAnswer(Call call, long elapsedNanos, boolean changed);

    /** A call timed out. */
    int onTimeout(Call call);

    /** The connection was refused or broken, or the answer was invalid. */
    int onFailure();

    /** Discovery is reachable and has rejected the call as too many or failed itself. */
    int onRejected(Call call);
}
