package beaconladder.server;

/** Why a client's connection ends. */
enum CloseCause {
    /** The client closed or half-closed it. */
    CLIENT_CLOSED,
    /** The client sent Terminate. */
    CLIENT_TERMINATED,
    /** Reading or writing failed, or the client took nothing in. */
    CLIENT_BROKEN,
    /** It brought a CancelRequest, and has no other use. */
    CANCEL_REQUEST,
    /** Its end was told in an error, and what it still sent was read on. */
    TOLD_TO_GO,
    /** It was idle, and room was needed or it had been idle long. */
    IDLE,
    /** It was idle, and the router ends. */
    DRAINED,
    /** A fault of the router itself. */
    FAULT;

    /** Whether the client ended it: then nobody is owed an answer. */
    boolean byClient() {
        return this == CLIENT_CLOSED || this == CLIENT_TERMINATED || this == CLIENT_BROKEN;
    }
}
