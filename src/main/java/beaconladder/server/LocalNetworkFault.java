package beaconladder.server;

/** Calls of the operating system that failed on this machine, whoever was at the other end. */
enum LocalNetworkFault {
    ACCEPT,
    CONNECT
}
