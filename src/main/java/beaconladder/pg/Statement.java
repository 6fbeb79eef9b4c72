package beaconladder.pg;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client's statement with the names and values of its comment. */
public final class Statement {
    /** The two statements of the protocol; whatever else a client writes, no host sees it. */
    private static final Pattern FORM = Pattern.compile("\\s*+(?:"
            + "SELECT doc FROM items WHERE id = '(?<read>[^'\\\\\\p{Cntrl}]++)'"
            + "|INSERT INTO items \\(id, doc\\) VALUES \\('(?<write>[^'\\\\\\p{Cntrl}]++)', "
            + "'\\\\x(?<value>[0-9a-fA-F]*+)'\\) RETURNING doc"
            + ") /\\*(?<comment>[^*\\p{Cntrl}]*+)\\*/\\s*+");

    private static final int LONGEST_VALUE = 64 * 1024;

    private final String text;
    private boolean writes;
    private long session;
    private final Map<String, String> values = new HashMap<>();
    private int delayFrom = -1;
    private int delayTo;
    private String fault;

    private Statement(String text) {
        this.text = text;
    }

    /** Reads the statement; what is wrong with it is told by {@link #fault}. */
    public static Statement parse(String text) {
        Statement statement = new Statement(text);
        Matcher form = FORM.matcher(text);
        if (!text.contains("/*")) {
            statement.fault = "the statement has no comment with id, c, d and cluster";
        } else if (!text.contains("*/")) {
            statement.fault = "the comment is not closed";
        } else if (!form.matches()) {
            statement.fault = "the statement is neither a SELECT nor an INSERT as they are taken here";
        } else {
            statement.writes = form.start("value") >= 0;
            statement.session = hash(form.start("write") >= 0 ? form.group("write") : form.group("read"));
            int digits = form.end("value") - form.start("value");
            statement.fault = digits % 2 != 0 || digits > 2 * LONGEST_VALUE
                    ? "the value is no hexadecimal text of at most 64 KiB"
                    : null;
            statement.readComment(form.start("comment"), form.end("comment"));
        }
        return statement;
    }

    private void readComment(int from, int to) {
        for (int at = from; at <= to && fault == null; ) {
            int comma = text.indexOf(',', at);
            int end = comma < 0 || comma > to ? to : comma;
            String pair = text.substring(at, end);
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                fault = "the comment holds '" + pair.strip() + "' where a name and its value belong";
                return;
            }
            String name = pair.substring(0, equals).strip();
            if (values.put(name, pair.substring(equals + 1).strip()) != null) {
                fault = "the comment holds " + name + " twice";
            }
            if (name.equals("d")) {
                delayFrom = at + equals + 1;
                delayTo = end;
            }
            at = end + 1;
        }
    }

    /** What can't be read in it, or null. */
    public String parseError() {
        return fault;
    }

    /** The value of this name, or null. */
    public String parameter(String name) {
        return values.get(name);
    }

    /** The quoted key, which names the session, as a number that is not 0. */
    public long sessionId() {
        return session;
    }

    /** Whether it writes. */
    public boolean isWrite() {
        return writes;
    }

    private static long hash(String key) {
        // FNV-1a over 64 bits.
        long hash = 0xcbf29ce484222325L;
        for (byte b : key.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * 0x100000001b3L;
        }
        return hash == 0 ? 1 : hash;
    }

    /** The statement as it came, but for the time that the sender will wait. */
    public String withDelayMillis(long millis) {
        return text.substring(0, delayFrom)
                + millis
                + (text.substring(delayFrom, delayTo).endsWith(" ") ? " " : "")
                + text.substring(delayTo);
    }
}
