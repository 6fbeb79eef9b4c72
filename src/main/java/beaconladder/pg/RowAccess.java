package beaconladder.pg;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The row that a statement names, read from its beginning alone: what follows, such as a large value, is not looked at.
 *
 * @param sessionId the hash of the quoted key, as {@link Statement#sessionId} returns it
 * @param isWrite whether the statement is an INSERT
 */
public record RowAccess(long sessionId, boolean isWrite) {
    private static final Pattern BEGINNING =
            Pattern.compile("\\s*+(?:SELECT doc FROM items WHERE id = '(?<read>[^'\\\\\\p{Cntrl}]++)'"
                    + "|INSERT INTO items \\(id, doc\\) VALUES \\('(?<write>[^'\\\\\\p{Cntrl}]++)', ')");

    /** Returns the access of this statement, or null if it does not begin like one of the protocol's. */
    public static RowAccess of(String text) {
        Matcher beginning = BEGINNING.matcher(text);
        if (!beginning.lookingAt()) {
            return null;
        }
        String writtenKey = beginning.group("write");
        return writtenKey == null
                ? new RowAccess(Statement.hash(beginning.group("read")), false)
                : new RowAccess(Statement.hash(writtenKey), true);
    }

    /** Returns whether both access the same row and one of them writes, so that they must run in their order. */
    public boolean conflictsWith(RowAccess other) {
        return (isWrite || other.isWrite) && sessionId == other.sessionId;
    }
}
