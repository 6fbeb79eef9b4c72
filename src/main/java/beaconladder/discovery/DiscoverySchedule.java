package beaconladder.discovery;

/**
 * Decides when discovery is called next and how long each call may take. One implementation is for an agent on the same
 * machine, the other for a service that all routers share.
 */
interface DiscoverySchedule {
    /** The delay after which, by the protocol, every router counts as notified of a change in discovery. */
    int NOTIFICATION_LIMIT_MILLIS = 6_000;
    /**
     * The longest timeout of a call without a wait, less than half the notification limit: longer ones would leave no
     * time to fetch the changes that follow a complete list.
     */
    int MAX_CALL_MILLIS = 2_500;

    /**
     * The wait and the timeouts of one call.
     *
     * @param waitMillis how long discovery may wait for a change before it responds; 0 for an immediate response
     * @param timeoutMillis the timeout of the call, from its start to the last byte of the response
     * @param responseMillis the limit from the first byte of the response to its last
     */
    record Call(int waitMillis, int timeoutMillis, int responseMillis) {}

    /** Discards everything that was learned about the previous address. */
    void reset();

    /**
     * Returns the wait and the timeouts of the next call.
     *
     * @param isWatching whether the previous call succeeded, so that this one may wait for changes
     */
    Call nextCall(boolean isWatching);

    /**
     * Returns a call with a long timeout that is to be made beside the other calls while none of its kind is in flight,
     * or null if there is no need for one.
     */
    default Call patientCall() {
        return null;
    }

    /**
     * Records that a call received a valid response.
     *
     * @param changed whether the response has a new version
     * @return the delay before the next call in milliseconds, as for all methods below
     */
    int onResponse(Call call, long elapsedNanos, boolean changed);

    /** Records that a call timed out. */
    int onTimeout(Call call);

    /** Records that the connection was refused or broken, or that the response was invalid. */
    int onFailure();

    /** Records that discovery rejected the call with status 429 or a server error, so it is reachable. */
    int onRejected(Call call);
}
