package beaconladder.server;

/** System calls that failed on this machine, independent of the peer; the names are those of the counters. */
enum LocalNetworkFault {
    ACCEPT,
    CONNECT
}
