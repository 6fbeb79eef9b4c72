package beaconladder.server;

/** Why a query is answered before the decisions have it. */
enum QueryRejection {
    NO_THREAD,
    NO_TIME,
    DRAINING,
    DUPLICATE_ID,
    NOT_ADMITTED
}
