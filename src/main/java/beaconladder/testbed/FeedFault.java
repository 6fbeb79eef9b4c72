package beaconladder.testbed;

/** Faults that the feed's scenario can inject. */
public enum FeedFault {
    /** A relay is killed during a burst of changes, and restarted. */
    KILL_RELAY,
    /** A relay is paused, and continues with the state it had. */
    PAUSE_RELAY,
    /** A relay is partitioned from the log, while its routers still reach it. */
    CUT_RELAY,
    /** A relay is restarted with an old stored state while it cannot reach the log at first. */
    OLD_RELAY,
    /** The lease servers' leader is killed during a burst of changes, and restarted. */
    KILL_LEADER,
    /** The lease servers' leader is paused, and continues. */
    PAUSE_LEADER,
    /** The lease servers' leader is partitioned from the others, and relays still reach it. */
    CUT_LEADER,
    /** A region, routers and relays, is partitioned and recovers. */
    CUT_REGION,
    /** A router is killed and restarted. */
    RESTART_ROUTER,
    /** A router is killed and restarted while it reaches no relay. */
    RESTART_ALONE,
    /** A router rejects a version, and applies the next. */
    REFUSAL,
    /** Messages between relays and lease servers are lost, duplicated, delayed and reordered. */
    FOUL_WEATHER
}
