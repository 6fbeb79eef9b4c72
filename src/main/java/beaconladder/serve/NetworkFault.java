package beaconladder.serve;

/** Calls of the operating system that failed on this machine, whoever was at the other end. */
enum NetworkFault {
    ACCEPT,
    CONNECT
}
