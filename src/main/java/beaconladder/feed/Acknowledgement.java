package beaconladder.feed;

/**
 * What a router reports about itself with each poll.
 *
 * @param incarnation increases with each start of this router
 * @param appliedVersion the version in force there
 * @param rejectedVersion a newer one that it rejected, or 0
 * @param countable whether neither another relay nor an earlier incarnation can still be counted
 */
record Acknowledgement(String router, long incarnation, long appliedVersion, long rejectedVersion, boolean countable) {}
