package beaconladder.feed;

/** Paths and query parameters of the feed's HTTP interfaces: that of the log and that of a relay. */
final class FeedApi {
    /** The path that returns an {@link Update} since a version; served by the log and by relays. */
    static final String FEED = "/v1/feed";
    /** The path that returns the {@link RelayReports.FleetStatus}; served by the log. */
    static final String FLEET_STATUS = "/v1/feed/status";
    /** The path that commits a {@link Proposal}; served by the log. */
    static final String PROPOSE = "/v1/feed/propose";
    /** The path that returns the {@link Relay.Status}; served by relays. */
    static final String RELAY_STATUS = "/v1/relay";

    /** The version that the client holds. */
    static final String SINCE_VERSION = "since";
    /** How long the response may be delayed until there is a newer version, in milliseconds. */
    static final String WAIT_MILLIS = "wait";
    /** A flag that requests the full state instead of changes. */
    static final String FULL_STATE = "whole";
    /** The name of the relay that sends a {@link #REPORT}. */
    static final String RELAY_NAME = "relay";
    /** A {@link RelayReport} as JSON. */
    static final String REPORT = "report";
    /** The name of the router; the parameters that follow are the rest of its {@link Acknowledgement}. */
    static final String ROUTER_NAME = "name";

    static final String INCARNATION = "life";
    static final String APPLIED_VERSION = "force";
    static final String REJECTED_VERSION = "refused";
    static final String COUNTABLE = "counts";
    /** A flag of a router that accepts a stale relay, so that its poll may wait there. */
    static final String ACCEPTS_STALE = "patient";

    private FeedApi() {}

    /** Formats a parameter as {@code &name=value}; the value must not need encoding. */
    static String parameter(String name, Object value) {
        return "&" + name + "=" + value;
    }

    /** Formats a flag as {@code &name=1} if it is set, otherwise as an empty text. */
    static String flag(String name, boolean set) {
        return set ? "&" + name + "=1" : "";
    }
}
