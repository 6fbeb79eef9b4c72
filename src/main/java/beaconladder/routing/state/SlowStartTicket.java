package beaconladder.routing.state;

/** What the slow start of a host asks of an attempt, and whether it had it. */
public enum SlowStartTicket {
    NOT_NEEDED,
    USED,
    MISSING
}
