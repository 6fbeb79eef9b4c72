package beaconladder.server;

/** System calls that failed on this machine, whatever the peer; the names are the kinds of the counters. */
enum LocalNetworkFault {
    ACCEPT,
    CONNECT
}
