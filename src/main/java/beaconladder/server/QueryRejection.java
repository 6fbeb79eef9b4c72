package beaconladder.server;

/** Why a query is answered before the routing policy sees it; the names are those of the counters. */
enum QueryRejection {
    NO_THREAD,
    NO_TIME,
    DRAINING,
    DUPLICATE_ID,
    NOT_ADMITTED;

    /** Counts and traces one rejected query. */
    void record(Monitor monitor) {
        monitor.counters().add("door", this);
        EventTrace.rejectedEarly("refused: " + this);
    }
}
