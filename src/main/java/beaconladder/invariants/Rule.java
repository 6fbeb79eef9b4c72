package beaconladder.invariants;

/** The rules that are checked at run time. Their names appear in log lines, in lower case. */
public enum Rule {
    /**
     * An attempt is sent to a ready host, for a connected client, with no longer timeout than the client has time left.
     */
    SENDING,
    /** A request that may have been executed is neither retried nor rejected, unless that is harmless. */
    REPEATING,
    /** A query that was read receives its response in time, and before its connection is closed. */
    CLOSING,
    /** A host in slow start receives requests on tickets only; the router itself is ready in time. */
    STARTING
}
