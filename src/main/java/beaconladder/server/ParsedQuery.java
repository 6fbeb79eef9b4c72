package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.state.Group;
import java.util.Locale;

/**
 * A query as it was parsed: a request for the hosts, or the answer that the router gives by itself.
 *
 * @param answer the answer of the router itself; null for a request, and only then the others count
 * @param id the client's id of the request
 * @param classIndex the index of its request class in the settings
 * @param groupNumber the number of the group of hosts that the client names
 * @param group null where no such group is known and there are cells
 * @param minPositionNanos the replication position that the read must see, or HostReport.NO_POSITION
 * @param budgetNanos how long the client waits
 */
record ParsedQuery(
        MessageWriter answer,
        Statement statement,
        String id,
        int classIndex,
        int groupNumber,
        Group group,
        long minPositionNanos,
        long budgetNanos) {
    private static final int MAX_ID_LENGTH = 128;
    private static final int MAX_BUDGET_MILLIS = 600_000;
    /** Keeps the sum of digits well within a long. */
    private static final int MAX_DIGITS = 15;

    /** Parses a query; one that is invalid has an error as its answer. */
    static ParsedQuery parse(String query, Statement statement, RequestDispatcher dispatcher) {
        String text = query.strip();
        String command = firstWord(text);
        if (text.isEmpty() || text.equals(";")) {
            return answered(new MessageWriter().emptyQuery().readyForQuery());
        }
        if (command.equals("SET") || command.equals("RESET") || command.equals("DISCARD")) {
            return answered(new MessageWriter().commandComplete(command).readyForQuery());
        }
        String fault = statement.parseError();
        if (fault != null) {
            return answered(ErrorResponse.error(ErrorResponse.SYNTAX_ERROR, fault));
        }
        return parseComment(statement, dispatcher);
    }

    /** Reads the request's parameters from the statement's comment; the first invalid one is reported. */
    private static ParsedQuery parseComment(Statement statement, RequestDispatcher dispatcher) {
        String id = statement.parameter("id");
        if (id == null || id.isEmpty() || id.length() > MAX_ID_LENGTH) {
            return invalid(statement, "id");
        }
        Integer classIndex = dispatcher.settingIndex().typeIndex(String.valueOf(statement.parameter("c")));
        if (classIndex == null) {
            return invalid(statement, "c");
        }
        long groupNumber = parseDigits(statement.parameter("cluster"));
        boolean isNumber = groupNumber >= 0 && groupNumber <= Integer.MAX_VALUE;
        Group group = isNumber ? dispatcher.group((int) groupNumber) : null;
        if (!isNumber || group == null && !dispatcher.hasCells()) {
            return invalid(statement, "cluster");
        }
        long budgetMillis = parseDigits(statement.parameter("d"));
        if (budgetMillis <= 0 || budgetMillis > MAX_BUDGET_MILLIS) {
            return invalid(statement, "d");
        }
        String after = statement.parameter("after");
        long minPositionNanos = after == null
                ? HostReport.NO_POSITION
                : LoadReportParser.parsePositionNanos(after, LoadReportParser.MILLIS_TO_NANOS);
        if (after != null && minPositionNanos == HostReport.NO_POSITION) {
            return invalid(statement, "after");
        }
        return new ParsedQuery(
                null, statement, id, classIndex, (int) groupNumber, group, minPositionNanos, budgetMillis * 1_000_000);
    }

    private static ParsedQuery invalid(Statement statement, String name) {
        return answered(
                statement.parameter(name) == null
                        ? ErrorResponse.error(ErrorResponse.SYNTAX_ERROR, "the comment lacks " + name)
                        : ErrorResponse.error(
                                ErrorResponse.INVALID_PARAMETER_VALUE, "the comment has an impossible " + name));
    }

    private static ParsedQuery answered(MessageWriter answer) {
        return new ParsedQuery(answer, null, null, 0, 0, null, 0, 0);
    }

    /** Whether its request class or the statement itself writes. */
    boolean writes(RequestDispatcher dispatcher) {
        return dispatcher.isWrite(classIndex) || statement.isWrite();
    }

    /** What the dispatcher has to know of it, in this group and with this permit, or null without cells. */
    RequestParameters requestParameters(Group servedBy, long arrivedNanos, long expiryNanos, AdmissionPermit permit) {
        return new RequestParameters(
                id, classIndex, servedBy, statement, minPositionNanos, arrivedNanos, expiryNanos, permit);
    }

    private static String firstWord(String text) {
        int end = 0;
        while (end < text.length() && Character.isLetter(text.charAt(end))) {
            end++;
        }
        return text.substring(0, end).toUpperCase(Locale.ROOT);
    }

    /** A decimal number without a sign, or -1. */
    private static long parseDigits(String digits) {
        if (digits == null || digits.isEmpty() || digits.length() > MAX_DIGITS) {
            return -1;
        }
        long number = 0;
        for (int i = 0; i < digits.length(); i++) {
            int digit = digits.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            number = 10 * number + digit;
        }
        return number;
    }
}
