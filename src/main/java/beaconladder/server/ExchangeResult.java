package beaconladder.server;

import beaconladder.pg.MessageWriter;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;

/**
 * How an exchange with a host ended, and how far it got.
 *
 * @param progress how far it got
 * @param errorCode the host's SQLSTATE, or null where it reported no error
 * @param complete whether a complete, valid response with its row was received
 * @param timedOut whether the wait for the response timed out
 * @param status what the host reported about itself with the response
 * @param messages the response as received, or null where it is not complete
 * @param reusable whether the connection can serve another exchange
 */
record ExchangeResult(
        Progress progress,
        String errorCode,
        boolean complete,
        boolean timedOut,
        HostStatus status,
        MessageWriter messages,
        boolean reusable) {

    /** Stands for the SQLSTATE of an invalid response; the routing policy treats it as an error of a reachable host. */
    private static final String INVALID_RESPONSE = "";

    /** How far an exchange had got when it ended. */
    enum Progress {
        NOT_CONNECTED,
        QUERY_INCOMPLETE,
        QUERY_WRITTEN,
        RESPONSE_BEGUN
    }

    /**
     * What a host reports about itself in parameter status messages.
     *
     * @param role its role, or {@link Role#UNKNOWN}
     * @param positionNanos its replication position in nanoseconds, or {@link HostReport#NO_POSITION}
     * @param load its load report, not yet parsed, or null
     */
    record HostStatus(Role role, long positionNanos, String load) {
        static final HostStatus UNKNOWN = new HostStatus(Role.UNKNOWN, HostReport.NO_POSITION, null);
    }

    /** The result of an exchange that ended before a response was awaited. */
    static ExchangeResult unanswered(Progress progress) {
        return interrupted(progress, false);
    }

    /** The result where the connection broke or the wait timed out before a complete response, which is discarded. */
    static ExchangeResult interrupted(Progress progress, boolean timedOut) {
        return new ExchangeResult(progress, null, false, timedOut, HostStatus.UNKNOWN, null, false);
    }

    /** The result of a response that violates the protocol: the query may have run; the content is ignored. */
    static ExchangeResult invalidResponse() {
        return new ExchangeResult(
                Progress.RESPONSE_BEGUN, INVALID_RESPONSE, false, false, HostStatus.UNKNOWN, null, false);
    }

    /** The result where the host closed the connection; the error code is that of an error sent before, or null. */
    static ExchangeResult closedByHost(Progress progress, String errorCode, HostStatus status) {
        return new ExchangeResult(progress, errorCode, false, false, status, null, false);
    }

    /** The result of a valid response: an error where there is an error code, a row otherwise. */
    static ExchangeResult finished(
            Progress progress, String errorCode, HostStatus status, MessageWriter messages, boolean reusable) {
        return new ExchangeResult(progress, errorCode, errorCode == null, false, status, messages, reusable);
    }

    /** The outcome in the terms of the routing policy. */
    Outcome outcome() {
        if (progress == Progress.NOT_CONNECTED || progress == Progress.QUERY_INCOMPLETE) {
            return Outcome.UNREACHABLE;
        }
        if (complete) {
            return Outcome.COMMITTED;
        }
        if (errorCode != null) {
            return switch (errorCode) {
                case "25006", "72000" -> Outcome.MISS;
                case "53300" -> Outcome.FULL;
                default -> Outcome.ERROR;
            };
        }
        return timedOut ? Outcome.TIMED_OUT : Outcome.RESET;
    }

    /** The host's report in the response itself, which is exact at the time of the response. */
    HostReport responseReport() {
        return status.role() == Role.UNKNOWN && status.positionNanos() == HostReport.NO_POSITION
                ? HostReport.EMPTY
                : new HostReport(status.role(), status.positionNanos(), -1);
    }

    /** The load report that the host sent with the response. */
    HostReport loadReport() {
        return LoadReportParser.parse(status.load());
    }
}
