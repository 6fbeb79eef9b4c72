package beaconladder.serve;

/** Why a query is answered before the decisions have it. */
enum DoorRefusal {
    NO_THREAD,
    NO_TIME,
    DRAINING,
    DUPLICATE_ID,
    NOT_ADMITTED
}
