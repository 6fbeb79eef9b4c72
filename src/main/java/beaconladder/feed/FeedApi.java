package beaconladder.feed;

/** Paths and query parameters of the feed's HTTP interfaces, those of the log and those of a relay. */
final class FeedApi {
    /** An {@link Update} since a version; at the log and at a relay. */
    static final String FEED = "/v1/feed";
    /** {@link RelayReports.FleetStatus}; at the log. */
    static final String STATUS = "/v1/feed/status";
    /** Commits a {@link Proposal}; at the log. */
    static final String PROPOSE = "/v1/feed/propose";
    /** {@link Relay.Status}; at a relay. */
    static final String RELAY = "/v1/relay";

    /** The version that the client holds. */
    static final String SINCE = "since";
    /** For how many milliseconds the response may be delayed until there is a newer version. */
    static final String WAIT = "wait";
    /** Requests the full state in place of changes. */
    static final String FULL_STATE = "whole";
    /** A relay's name, with {@link #REPORT}. */
    static final String RELAY_NAME = "relay";
    /** A {@link RelayReport} as JSON. */
    static final String REPORT = "report";
    /** A router's name, with the parameters of its {@link Acknowledgement}. */
    static final String ROUTER_NAME = "name";

    static final String INCARNATION = "life";
    static final String APPLIED_VERSION = "force";
    static final String REJECTED_VERSION = "refused";
    static final String COUNTABLE = "counts";
    /** Set by a router that also waits at a relay whose own state is stale. */
    static final String ACCEPTS_STALE = "patient";

    private FeedApi() {}

    /** {@code &name=value}. */
    static String parameter(String name, Object value) {
        return "&" + name + "=" + value;
    }

    /** {@code &name=1}, or nothing. */
    static String flag(String name, boolean set) {
        return set ? "&" + name + "=1" : "";
    }
}
