package beaconladder.testbed.soak;

/** The faults that a soak injects, two or three at a time. */
public enum FaultKind {
    /** A router receives SIGTERM and is restarted. */
    TERMINATE,
    /** A router receives SIGKILL and is restarted. */
    KILL,
    /** A router reloads a configuration with another discovery agent, sometimes twice or followed by a broken file. */
    RELOAD,
    /** A router is stopped for up to 0.15 s, several times. */
    PAUSE,
    /** The wall clock of a router steps by seconds or an hour, forward or backward, and is not corrected. */
    CLOCK_STEP,
    /** A router is killed and restarts with a wall clock that is off by seconds or an hour, and is corrected later. */
    CLOCK_WRONG_AT_START,
    /** accept fails: ECONNABORTED, ENFILE, EMFILE, ENOBUFS, EINTR. */
    ACCEPT_FAILS,
    /** connect or socket fails: ENOBUFS, EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT. */
    CONNECT_FAILS,
    /** A third of the attempts to start a thread fail. */
    THREADS_FAIL,
    /** Reads and writes on sockets transfer fewer bytes than requested, or are interrupted. */
    SHORT_IO,
    /** At most once a second, a write on a socket is delayed by 0.15 s after the router has read its clock. */
    HELD_UP,
    /** A discovery agent does not answer. */
    DISCOVERY_SILENT,
    /** A discovery agent's answers are cut off, incomplete or end with a reset. */
    DISCOVERY_BREAKS,
    /** A discovery agent answers up to a second late. */
    DISCOVERY_SLOW,
    /** A replica drains, is removed, and returns in slow start. */
    HOST_DRAINS,
    /** A host crashes and returns in slow start. */
    HOST_CRASHES,
    /** A host accepts connections and requests but answers none. */
    HOST_HANGS,
    /** A host is partitioned: open connections pass no bytes, and new ones are never established. */
    HOST_SILENT,
    /** A host answers with errors, rejects requests as full, drops its answers or answers twice. */
    HOST_FAILS,
    /** A host's answers violate the protocol or break off. */
    HOST_SPOILS,
    /** Connections to hosts are established late, and are reset while requests are in flight. */
    HOST_NETWORK,
    /** Hosts close idle connections early. */
    HOST_IDLE_CLOSE,
    /** Hosts take about a second to answer, instead of milliseconds. */
    HOSTS_SLOW,
    /** The lag of replicas exceeds the bound of bounded reads. */
    REPLICAS_LAG,
    /** Another host becomes the primary; the endpoint lists show it later. */
    PRIMARY_MOVES,
    /** Some clients send malformed or incomplete input. */
    BAD_CLIENTS,
    /** Idle clients take all descriptors that a router has for clients. */
    IDLE_CROWD,
    /** Clients pipeline queries at full speed. */
    CLIENT_FLOOD,
    /** Many clients read no answers, stop in the middle of a large message, or send very many fields. */
    CLIENT_CROWD,
    /** Clients close their connections behind hundreds of kilobytes of queries. */
    CLIENTS_LEAVE,
    /** A router receives SIGHUP and SIGTERM several times in a row, and is restarted. */
    SIGNAL_SERIES
}
