package beaconladder.server;

/** Why a client's connection is closed; the names are those of the counters and of the trace. */
enum CloseCause {
    /** The client closed or half-closed it. */
    CLIENT_CLOSED,
    /** The client sent Terminate. */
    CLIENT_TERMINATED,
    /** Reading or writing failed, or the client read nothing for too long. */
    CLIENT_BROKEN,
    /** The connection carried a CancelRequest, after which it closes. */
    CANCEL_REQUEST,
    /** A final error was sent, and what the client still sent was read and discarded. */
    TOLD_TO_GO,
    /** It was idle, and its descriptor was needed or it had been idle for long. */
    IDLE,
    /** It was idle, and the router shuts down. */
    DRAINED,
    /** A fault of the router itself. */
    FAULT;

    /** Whether the client closed it: then no answer is due. */
    boolean isByClient() {
        return this == CLIENT_CLOSED || this == CLIENT_TERMINATED || this == CLIENT_BROKEN;
    }
}
