package beaconladder.testbed.soak;

/** What can go wrong in a soak; two or three at a time. */
public enum FaultKind {
    /** A router gets SIGTERM and is restarted. */
    TERMINATE,
    /** A router is killed and restarted. */
    KILL,
    /** A new configuration moves discovery; sometimes twice in a row, or with a broken file behind it. */
    RELOAD,
    /** A router is paused for up to 0.15 s, several times. */
    PAUSE,
    /** The wall clock of a router is stepped by seconds or an hour, either way, and stays there. */
    CLOCK_STEP,
    /** A router is killed, starts with a wall clock that is off by as much, and has it put right later. */
    CLOCK_WRONG_AT_START,
    /** accept fails: ECONNABORTED, ENFILE, EMFILE, ENOBUFS, EINTR. */
    ACCEPT_FAILS,
    /** connect or socket fails: ENOBUFS, EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT. */
    CONNECT_FAILS,
    /** A third of the threads can't be started for a while. */
    THREADS_FAIL,
    /** Reads and writes on sockets are short or interrupted. */
    SHORT_IO,
    /** Once a second a write on a socket is held up for 0.15 s, and its clock was read as long before. */
    HELD_UP,
    /** Discovery is silent. */
    DISCOVERY_SILENT,
    /** Discovery's answers are cut, dripped or reset. */
    DISCOVERY_BREAKS,
    /** Discovery answers up to a second late. */
    DISCOVERY_SLOW,
    /** A replica drains, is removed, and returns in slow start. */
    HOST_DRAINS,
    /** A host crashes and returns in slow start. */
    HOST_CRASHES,
    /** A host hangs with all that it has. */
    HOST_HANGS,
    /** A host is partitioned: silent, and new connections are never established. */
    HOST_SILENT,
    /** A host fails, rejects, or loses its answers. */
    HOST_FAILS,
    /** A host's answers are spoilt. */
    HOST_SPOILS,
    /** Connections to hosts come up late, and are reset under requests. */
    HOST_NETWORK,
    /** Hosts close what is idle early. */
    HOST_IDLE_CLOSE,
    /** Hosts that answered in milliseconds take a second. */
    HOSTS_SLOW,
    /** Replicas lag behind a bound. */
    REPLICAS_LAG,
    /** Another host becomes the primary; endpoint lists show it late. */
    PRIMARY_MOVES,
    /** Bad clients come. */
    BAD_CLIENTS,
    /** Idle clients take all descriptors that a router has for clients. */
    IDLE_CROWD
}
