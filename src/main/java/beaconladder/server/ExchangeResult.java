package beaconladder.server;

import beaconladder.pg.MessageWriter;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;

/**
 * How an exchange with a host ended, and how far it got.
 *
 * @param reach how far it got
 * @param errorCode the host's SQLSTATE, or null where it reported no error
 * @param complete whether a complete, valid response with its row was received
 * @param timedOut whether the wait for the response timed out
 * @param status what the host reported about itself with the response
 * @param messages the response as received, or null where it is not complete
 * @param reusable whether the connection can serve another exchange
 */
record ExchangeResult(
        Reach reach,
        String errorCode,
        boolean complete,
        boolean timedOut,
        HostStatus status,
        MessageWriter messages,
        boolean reusable) {

    /** Stands for the SQLSTATE of an invalid response; the routing policy treats it as an error of a reachable host. */
    private static final String INVALID_RESPONSE = "";

    /** How far an exchange had got when it ended. */
    enum Reach {
        NOT_CONNECTED,
        PART_WRITTEN,
        WRITTEN,
        ANSWER_BEGUN
    }

    /**
     * What a host reports about itself in parameter status messages.
     *
     * @param role its role, or {@link Role#UNKNOWN}
     * @param positionNanos its replication position in nanoseconds, or {@link HostReport#NONE}
     * @param load its load report, not yet parsed, or null
     */
    record HostStatus(Role role, long positionNanos, String load) {
        static final HostStatus UNKNOWN = new HostStatus(Role.UNKNOWN, HostReport.NO_POSITION, null);
    }

    /** The exchange ended before any of the response was awaited. */
    static ExchangeResult unanswered(Reach reach) {
        return interrupted(reach, false);
    }

    /** The connection broke or the wait timed out before a complete response; what was received is discarded. */
    static ExchangeResult interrupted(Reach reach, boolean timedOut) {
        return new ExchangeResult(reach, null, false, timedOut, HostStatus.UNKNOWN, null, false);
    }

    /** The response violates the protocol: the query may have run, and nothing that the response states counts. */
    static ExchangeResult invalidResponse() {
        return new ExchangeResult(Reach.ANSWER_BEGUN, INVALID_RESPONSE, false, false, HostStatus.UNKNOWN, null, false);
    }

    /** The host closed the connection, possibly after an error; the error code, if any, counts. */
    static ExchangeResult closedByHost(Reach reach, String errorCode, HostStatus status) {
        return new ExchangeResult(reach, errorCode, false, false, status, null, false);
    }

    /** The response ended as the protocol requires: with a row, or with an error where there is a code. */
    static ExchangeResult finished(
            Reach reach, String errorCode, HostStatus status, MessageWriter messages, boolean reusable) {
        return new ExchangeResult(reach, errorCode, errorCode == null, false, status, messages, reusable);
    }

    /** The outcome in the terms of the routing policy. */
    Outcome outcome() {
        if (reach == Reach.NOT_CONNECTED || reach == Reach.PART_WRITTEN) {
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

    /** What the response itself states about the host: exact at the time of the response. */
    HostReport statedByResponse() {
        return status.role() == Role.UNKNOWN && status.positionNanos() == HostReport.NO_POSITION
                ? HostReport.EMPTY
                : new HostReport(status.role(), status.positionNanos(), -1);
    }

    /** What the load report that accompanied the response states. */
    HostReport loadReport() {
        return LoadReportParser.parse(status.load());
    }
}
