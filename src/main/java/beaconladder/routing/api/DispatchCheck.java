package beaconladder.routing.api;

/** Whether an attempt may still be sent, and if not, why; checked right before its bytes are written. */
public enum DispatchCheck {
    ALLOWED,
    /** The request has its final answer, or its client has disconnected. */
    REQUEST_ENDED,
    EXPIRED,
    /** The request's admission to its cell has ended. */
    NOT_ADMITTED,
    /** The host is draining or gone. */
    HOST_LEAVING,
    /** The host has restarted since the decision: it is in slow start, and its role is unknown. */
    HOST_RESTARTED,
    /** An earlier attempt may have run, and a retry is no longer safe. */
    MAY_HAVE_RUN,
    /** The request requires the primary, and the host is no longer the primary. */
    NOT_PRIMARY,
    /** The replica's position is behind the required one, which for a staleness bound advances with the clock. */
    POSITION_BEHIND;

    /** Whether the attempt may be sent. */
    public boolean isAllowed() {
        return this == ALLOWED;
    }
}
