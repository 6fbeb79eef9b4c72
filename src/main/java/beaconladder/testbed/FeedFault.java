package beaconladder.testbed;

/** Faults that the feed's scenario can inject. */
public enum FeedFault {
    /** A relay is killed during a burst of changes, and restarted. */
    KILL_RELAY,
    /** A relay is stopped, and goes on with what it had. */
    PAUSE_RELAY,
    /** A relay hears nothing from the log, and its routers still hear it. */
    CUT_RELAY,
    /** A relay is restarted with an old stored state while it cannot reach the log at first. */
    OLD_RELAY,
    /** The lease servers' leader is killed during a burst of changes, and restarted. */
    KILL_LEADER,
    /** The grantors' leader is stopped, and goes on. */
    PAUSE_LEADER,
    /** The lease servers' leader is partitioned from the others, and relays still reach it. */
    CUT_LEADER,
    /** A region, routers and relays, is partitioned and recovers. */
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
