package beaconladder.invariants;

/** What is checked at run time. */
public enum Rule {
    /** An attempt goes to a ready host, for a client that is there, with no more time than the client has. */
    SENDING,
    /** What may have run is neither repeated nor refused unless that is harmless. */
    REPEATING,
    /** A query that was read gets its answer, in time, before its connection is closed. */
    CLOSING,
    /** A host in slow start is sent to on tickets alone; the router itself is ready in time. */
    STARTING
}
