package beaconladder.server;

import beaconladder.pg.MessageWriter;

/** The SQL errors that the router itself sends to clients, with their SQLSTATEs. */
final class ErrorResponse {
    static final String PROTOCOL_VIOLATION = "08P01";
    static final String FEATURE_NOT_SUPPORTED = "0A000";
    static final String CHARACTER_NOT_IN_REPERTOIRE = "22021";
    static final String INVALID_PARAMETER_VALUE = "22023";
    static final String STATEMENT_COMPLETION_UNKNOWN = "40003";
    static final String SYNTAX_ERROR = "42601";
    static final String TOO_MANY_CONNECTIONS = "53300";
    static final String QUERY_CANCELED = "57014";
    static final String CANNOT_CONNECT_NOW = "57P03";
    static final String INTERNAL_ERROR = "XX000";

    private ErrorResponse() {}

    /** An error that ends a query; the connection is then ready for the next one. */
    static MessageWriter error(String sqlState, String message) {
        return new MessageWriter().error("ERROR", sqlState, message, null).readyForQuery();
    }

    /** An error after which the connection closes. */
    static MessageWriter fatal(String sqlState, String message) {
        return new MessageWriter().error("FATAL", sqlState, message, null);
    }

    /** The error of a message of the extended query protocol; the client's Sync ends it. */
    static MessageWriter unsupportedProtocol() {
        return new MessageWriter().error("ERROR", FEATURE_NOT_SUPPORTED, "only simple queries are spoken here", null);
    }

    /** The rejection of a query for this reason; the query has not run. */
    static MessageWriter rejected(String reason, long retryAfterNanos) {
        return notRun("declined, as " + reason + "; it has not run", retryAfterNanos);
    }

    /** The rejection of a query by the routing policy; the query has not run. */
    static MessageWriter rejected(long retryAfterNanos) {
        return notRun("declined; it has not run, try again", retryAfterNanos);
    }

    /** The error of a query that has not run; its detail is the back-off in milliseconds, absent where that is 0. */
    private static MessageWriter notRun(String message, long retryAfterNanos) {
        String detail = retryAfterNanos > 0 ? String.valueOf(retryAfterNanos / 1_000_000) : null;
        return new MessageWriter()
                .error("ERROR", TOO_MANY_CONNECTIONS, message, detail)
                .readyForQuery();
    }
}
