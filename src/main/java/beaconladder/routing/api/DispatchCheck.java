package beaconladder.routing.api;

/** Whether an attempt that was decided may still go, and if not, why; judged right before its bytes. */
public enum DispatchCheck {
    ALLOWED,
    /** The request has its final answer, or its client has gone. */
    REQUEST_ENDED,
    EXPIRED,
    /** The request's leave for its cell has ended. */
    NOT_ADMITTED,
    /** The host drains or is gone. */
    HOST_LEAVING,
    /** The host has started anew since the decision: it is in slow start, and its role is unknown. */
    HOST_RESTARTED,
    /** An earlier attempt may have run, and what keeps a retry harmless is no longer given. */
    MAY_HAVE_RUN,
    /** Only the primary may take it, and the host is that no longer. */
    NOT_PRIMARY,
    /** The replica's record does not reach the target any more, as a bound moves on with the clock. */
    POSITION_BEHIND;

    /** Whether the attempt may go. */
    public boolean isAllowed() {
        return this == ALLOWED;
    }
}
