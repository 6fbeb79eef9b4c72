package beaconladder.feed;

/**
 * What a router says of itself with each poll.
 *
 * @param life grows with each start of this router
 * @param inForce the version in force there
 * @param refused a newer one that it refused, or 0
 * @param counts whether no other relay, and no earlier life of it, can still be counted
 */
record Acknowledgement(String router, long life, long inForce, long refused, boolean counts) {}
