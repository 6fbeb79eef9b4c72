package beaconladder.testbed;

/** What may happen in the feed's rehearsal. */
public enum FeedFault {
    /** A relay is killed amid a burst of changes, and comes back. */
    KILL_RELAY,
    /** A relay is stopped, and goes on with what it had. */
    PAUSE_RELAY,
    /** A relay hears nothing from the log, and its routers still hear it. */
    CUT_RELAY,
    /** A relay comes back with an old disk, and hears nothing from the log at first. */
    OLD_RELAY,
    /** The grantors' leader is killed amid a burst of changes, and comes back. */
    KILL_LEADER,
    /** The grantors' leader is stopped, and goes on. */
    PAUSE_LEADER,
    /** The grantors' leader is cut off from the other grantors, and relays still hear it. */
    CUT_LEADER,
    /** A region is cut off, routers and relays, and heals. */
    CUT_REGION,
    /** A router is killed and starts again. */
    RESTART_ROUTER,
    /** A router is killed and starts again while it reaches no relay. */
    RESTART_ALONE,
    /** A router refuses a version, and takes the next. */
    REFUSAL,
    /** What relays say to grantors, and hear, is lost, doubled, late and out of order. */
    FOUL_WEATHER
}
