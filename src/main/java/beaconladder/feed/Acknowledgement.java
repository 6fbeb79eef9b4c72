package beaconladder.feed;

/**
 * The versions that a router has applied and rejected, which it reports with each poll.
 *
 * @param router the router's name
 * @param incarnation a number that increases with each start of this router
 * @param appliedVersion the version that is applied; 0 for none
 * @param rejectedVersion a newer version that the router rejected, or 0
 * @param countable whether the router can't be counted any more by another relay or as an earlier incarnation
 */
record Acknowledgement(String router, long incarnation, long appliedVersion, long rejectedVersion, boolean countable) {}
