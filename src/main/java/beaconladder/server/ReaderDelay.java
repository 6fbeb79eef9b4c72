package beaconladder.server;

/** Delays of the thread that reads for all clients, as counted by the monitor. */
enum ReaderDelay {
    /** One pass over the clients took so long that others had to wait for it. */
    LONG_PASS
}
