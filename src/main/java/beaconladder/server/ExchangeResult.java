package beaconladder.server;

import beaconladder.pg.MessageWriter;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.Router.Role;

/**
 * How an exchange with a host ended, and how far it had come.
 *
 * @param reach how far it had come
 * @param code the host's error code, or null
 * @param row whether a whole answer came
 * @param timedOut whether it was given up waiting
 * @param role what the host said of its role
 * @param position the position it said, in nanoseconds
 * @param load the report it gave, or null
 * @param messages the answer as it came
 * @param reusable whether the connection stands for the next
 */
record ExchangeResult(
        Reach reach,
        String code,
        boolean row,
        boolean timedOut,
        Role role,
        long position,
        String load,
        MessageWriter messages,
        boolean reusable) {

    /** The code of an answer that gives none; for the module it is an error of a host that can be reached. */
    private static final String SPOILT = "";

    /** How far a submission had come when it ended. */
    enum Reach {
        NOT_CONNECTED,
        PART_WRITTEN,
        WRITTEN,
        ANSWER_BEGUN
    }

    static ExchangeResult early(Reach reach) {
        return broken(reach, false);
    }

    /** It broke off, or was given up waiting, with no whole answer; what had come is not believed. */
    static ExchangeResult broken(Reach reach, boolean timedOut) {
        return new ExchangeResult(
                reach, null, false, timedOut, Role.UNKNOWN, HostReport.NO_POSITION, null, null, false);
    }

    /** An answer that can't be read: it may have run, and nothing that it said counts. */
    static ExchangeResult spoilt() {
        return new ExchangeResult(
                Reach.ANSWER_BEGUN, SPOILT, false, false, Role.UNKNOWN, HostReport.NO_POSITION, null, null, false);
    }

    /** The outcome in the module's words. */
    Outcome outcome() {
        if (reach == Reach.NOT_CONNECTED || reach == Reach.PART_WRITTEN) {
            return Outcome.UNREACHABLE;
        }
        if (row) {
            return Outcome.COMMITTED;
        }
        if (code != null) {
            return switch (code) {
                case "25006", "72000" -> Outcome.MISS;
                case "53300" -> Outcome.FULL;
                default -> Outcome.ERROR;
            };
        }
        return timedOut ? Outcome.TIMED_OUT : Outcome.RESET;
    }

    /** What the answer itself says. */
    HostReport word() {
        return role == Role.UNKNOWN && position == HostReport.NO_POSITION
                ? HostReport.EMPTY
                : new HostReport(role, position, -1);
    }

    /** What the report that came along says. */
    HostReport report() {
        return LoadReportParser.parse(load);
    }
}
