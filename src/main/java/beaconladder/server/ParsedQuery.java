package beaconladder.server;

import beaconladder.cells.AdmissionPermit;
import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.state.Group;
import java.util.Locale;

/**
 * A parsed query: either a request that a host executes, or the router's own answer to it.
 *
 * @param answer the router's own answer; null for a request, and only then the other components are set
 * @param id the client's id of the request
 * @param classIndex the index of its request class in the settings
 * @param groupNumber the number of the group of hosts that the client names
 * @param group the group of that number, or null where none is known and cells are configured
 * @param minPositionNanos the least replication position that a read must see, or HostReport.NO_POSITION
 * @param budgetNanos how long the client waits for the answer
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
    /** Numbers of this many digits do not overflow a long. */
    private static final int MAX_DIGITS = 15;

    /** Parses a query; the answer to an invalid one is an error. */
    static ParsedQuery parse(String query, Statement statement, RequestDispatcher dispatcher) {
        String text = query.strip();
        String command = firstWord(text);
        if (text.isEmpty() || text.equals(";")) {
            return answered(new MessageWriter().emptyQuery().readyForQuery());
        }
        if (command.equals("SET") || command.equals("RESET") || command.equals("DISCARD")) {
            return answered(new MessageWriter().commandComplete(command).readyForQuery());
        }
        String parseError = statement.parseError();
        if (parseError != null) {
            return answered(ErrorResponse.error(ErrorResponse.SYNTAX_ERROR, parseError));
        }
        return parseComment(statement, dispatcher);
    }

    /** Reads the request's parameters from the statement's comment; the answer reports the first invalid one. */
    private static ParsedQuery parseComment(Statement statement, RequestDispatcher dispatcher) {
        String id = statement.parameter("id");
        if (id == null || id.isEmpty() || id.length() > MAX_ID_LENGTH) {
            return invalid(statement, "id");
        }
        Integer classIndex = dispatcher.settingIndex().requestClassIndex(String.valueOf(statement.parameter("c")));
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
        String minPosition = statement.parameter("after");
        long minPositionNanos = minPosition == null
                ? HostReport.NO_POSITION
                : LoadReportParser.parsePositionNanos(minPosition, LoadReportParser.MILLIS_TO_NANOS);
        if (minPosition != null && minPositionNanos == HostReport.NO_POSITION) {
            return invalid(statement, "after");
        }
        return new ParsedQuery(
                null, statement, id, classIndex, (int) groupNumber, group, minPositionNanos, budgetMillis * 1_000_000);
    }

    private static ParsedQuery invalid(Statement statement, String parameter) {
        return answered(
                statement.parameter(parameter) == null
                        ? ErrorResponse.error(ErrorResponse.SYNTAX_ERROR, "the comment lacks " + parameter)
                        : ErrorResponse.error(
                                ErrorResponse.INVALID_PARAMETER_VALUE, "the comment has an impossible " + parameter));
    }

    private static ParsedQuery answered(MessageWriter answer) {
        return new ParsedQuery(answer, null, null, 0, 0, null, 0, 0);
    }

    /** Returns whether the request class or the statement itself writes. */
    boolean writes(RequestDispatcher dispatcher) {
        return dispatcher.isWrite(classIndex) || statement.isWrite();
    }

    /**
     * Returns the parameters of the request.
     *
     * @param servingGroup the group of hosts that serves it
     * @param permit the permit of its cell, or null where no cells are configured
     */
    RequestParameters requestParameters(
            Group servingGroup, long arrivedNanos, long expiryNanos, AdmissionPermit permit) {
        return new RequestParameters(
                id, classIndex, servingGroup, statement, minPositionNanos, arrivedNanos, expiryNanos, permit);
    }

    private static String firstWord(String text) {
        int end = 0;
        while (end < text.length() && Character.isLetter(text.charAt(end))) {
            end++;
        }
        return text.substring(0, end).toUpperCase(Locale.ROOT);
    }

    /** Parses a decimal number without a sign; returns -1 for any other text. */
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
