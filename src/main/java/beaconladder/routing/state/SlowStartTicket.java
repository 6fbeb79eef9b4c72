package beaconladder.routing.state;

/** Whether an attempt needed a ticket, since its host was in slow start, and whether it had one. */
public enum SlowStartTicket {
    NOT_NEEDED,
    USED,
    MISSING
}
