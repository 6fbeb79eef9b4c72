package beaconladder.server;

/** Why a query is rejected before it reaches the routing policy; the names are the kinds of the counters. */
enum QueryRejection {
    NO_THREAD,
    NO_TIME,
    DRAINING,
    DUPLICATE_ID,
    NOT_ADMITTED,
    QUEUE_FULL;

    /** Counts and traces one rejected query. */
    void record(Monitor monitor) {
        monitor.counters().add("door", this);
        EventTrace.rejectedEarly("refused: " + this);
    }
}
