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
record Acknowledgement(String router, long incarnation, long appliedVersion, long rejectedVersion, boolean countable) {
    /**
     * Returns whether the router sent this acknowledgement before the other one, whichever arrived first: it is of an
     * earlier incarnation, or of a time at which the router had not decided on the other one's versions yet.
     */
    boolean isOlderThan(Acknowledgement other) {
        return incarnation != other.incarnation
                ? incarnation < other.incarnation
                : newestDecidedVersion() < other.newestDecidedVersion();
    }

    /** Returns the newest version that was applied or rejected; it never decreases while the router runs. */
    private long newestDecidedVersion() {
        return Math.max(appliedVersion, rejectedVersion);
    }
}
