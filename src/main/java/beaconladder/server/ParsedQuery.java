package beaconladder.server;

import beaconladder.pg.MessageWriter;
import beaconladder.pg.Statement;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.state.Group;
import java.util.Locale;

/**
 * A query as it was read: a txn, or the answer it gets here.
 *
 * @param answer what is to be said at once, without a txn; null for a txn
 * @param cluster the group's number as named
 * @param group null where no such group is known and there are cells
 * @param written the position that the read must see, or Word.NONE
 * @param budget how long the client waits, in nanoseconds
 */
record ParsedQuery(
        MessageWriter answer,
        Statement statement,
        String id,
        int type,
        int cluster,
        Group group,
        long written,
        long budget) {
    /** Ids are short, and no client waits ten minutes; what is beyond is no id and no deadline. */
    private static final int LONGEST_ID = 128;

    private static final int LONGEST_MILLIS = 600_000;

    static ParsedQuery read(String query, Statement statement, RequestDispatcher desk) {
        String plain = query.strip();
        String first = firstWord(plain);
        if (plain.isEmpty() || plain.equals(";")) {
            return only(new MessageWriter().emptyQuery().ready());
        }
        if (first.equals("SET") || first.equals("RESET") || first.equals("DISCARD")) {
            return only(new MessageWriter().commandComplete(first).ready());
        }
        String fault = statement.fault();
        if (fault != null) {
            return only(error("42601", fault));
        }
        String id = statement.value("id");
        Integer type = desk.settingIndex().typeIndex(String.valueOf(statement.value("c")));
        long cluster = number(statement.value("cluster"));
        boolean named = cluster >= 0 && cluster <= Integer.MAX_VALUE;
        Group group = named ? desk.group((int) cluster) : null;
        long budget = number(statement.value("d"));
        String after = statement.value("after");
        long written = after == null
                ? HostReport.NO_POSITION
                : LoadReportParser.parsePositionNanos(after, LoadReportParser.MILLIS_TO_NANOS);
        String wrong = id == null || id.isEmpty() || id.length() > LONGEST_ID
                ? "id"
                : type == null
                        ? "c"
                        : !named || group == null && !desk.hasCells()
                                ? "cluster"
                                : budget <= 0 || budget > LONGEST_MILLIS
                                        ? "d"
                                        : after != null && written == HostReport.NO_POSITION ? "after" : null;
        if (wrong != null) {
            return only(
                    statement.value(wrong) == null
                            ? error("42601", "the comment lacks " + wrong)
                            : error("22023", "the comment has an impossible " + wrong));
        }
        return new ParsedQuery(null, statement, id, type, (int) cluster, group, written, budget * 1_000_000);
    }

    static MessageWriter error(String code, String message) {
        return new MessageWriter().error("ERROR", code, message, null).ready();
    }

    /** A decline for this reason, with when to come back, in nanoseconds, where that is known. */
    static MessageWriter declined(String reason, long comeBack) {
        return new MessageWriter()
                .error(
                        "ERROR",
                        "53300",
                        "declined, as " + reason + "; it has not run",
                        comeBack > 0 ? String.valueOf(comeBack / 1_000_000) : null)
                .ready();
    }

    private static ParsedQuery only(MessageWriter answer) {
        return new ParsedQuery(answer, null, null, 0, 0, null, 0, 0);
    }

    private static String firstWord(String text) {
        int end = 0;
        while (end < text.length() && Character.isLetter(text.charAt(end))) {
            end++;
        }
        return text.substring(0, end).toUpperCase(Locale.ROOT);
    }

    private static long number(String digits) {
        if (digits == null || digits.isEmpty() || digits.length() > 15) {
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
