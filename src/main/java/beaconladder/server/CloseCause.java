package beaconladder.server;

/** Why a client's connection is closed. The constants' names appear in counters and in the trace. */
enum CloseCause {
    /** The client closed or half-closed the connection. */
    CLIENT_CLOSED,
    /** The client sent Terminate. */
    CLIENT_TERMINATED,
    /** Reading or writing failed, or the client read nothing for too long. */
    CLIENT_BROKEN,
    /** The connection carried a CancelRequest, after which it closes. */
    CANCEL_REQUEST,
    /** The client was sent an error after which the connection closes; what it sent afterwards was discarded. */
    TOLD_TO_GO,
    /** The connection was idle, and its descriptor was needed or it had been idle for long. */
    IDLE,
    /** The connection was idle, and the router shuts down. */
    DRAINED,
    /** An internal error of the router. */
    FAULT;

    /** Whether the client ended the connection, so that no answer is due. */
    boolean isByClient() {
        return this == CLIENT_CLOSED || this == CLIENT_TERMINATED || this == CLIENT_BROKEN;
    }
}
