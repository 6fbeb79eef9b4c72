package beaconladder.pg;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client's statement, parsed, with the parameters of its comment. */
public final class Statement {
    /** The two statements of the protocol; any other is rejected and never forwarded. */
    private static final Pattern FORM = Pattern.compile("\\s*+(?:"
            + "SELECT doc FROM items WHERE id = '(?<read>[^'\\\\\\p{Cntrl}]++)'"
            + "|INSERT INTO items \\(id, doc\\) VALUES \\('(?<write>[^'\\\\\\p{Cntrl}]++)', "
            + "'\\\\x(?<value>[0-9a-fA-F]*+)'\\) RETURNING doc"
            + ") /\\*(?<comment>[^*\\p{Cntrl}]*+)\\*/\\s*+");

    private static final int MAX_VALUE_BYTES = 64 * 1024;
    /** Each parameter takes many times its text in memory; the protocol names eight. */
    private static final int MAX_PARAMETERS = 64;

    private final String text;
    private boolean isWrite;
    private long sessionId;
    private final Map<String, String> parameters = new HashMap<>();
    private int delayStart = -1;
    private int delayEnd;
    private String parseError;

    private Statement(String text) {
        this.text = text;
    }

    /** Reads the statement; an error in it is reported by {@link #parseError}. */
    public static Statement parse(String text) {
        Statement statement = new Statement(text);
        Matcher form = FORM.matcher(text);
        if (!text.contains("/*")) {
            statement.parseError = "the statement has no comment with id, c, d and cluster";
        } else if (!text.contains("*/")) {
            statement.parseError = "the comment is not closed";
        } else if (!form.matches()) {
            statement.parseError = "the statement is neither a SELECT nor an INSERT as they are taken here";
        } else {
            statement.isWrite = form.start("value") >= 0;
            statement.sessionId = hash(form.start("write") >= 0 ? form.group("write") : form.group("read"));
            int digits = form.end("value") - form.start("value");
            statement.parseError = digits % 2 != 0 || digits > 2 * MAX_VALUE_BYTES
                    ? "the value is no hexadecimal text of at most 64 KiB"
                    : null;
            statement.readComment(form.start("comment"), form.end("comment"));
        }
        return statement;
    }

    private void readComment(int from, int to) {
        for (int at = from; at <= to && parseError == null; ) {
            int comma = text.indexOf(',', at);
            int end = comma < 0 || comma > to ? to : comma;
            String pair = text.substring(at, end);
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                parseError = "the comment holds '" + pair.strip() + "' where a name and its value belong";
                return;
            }
            if (parameters.size() == MAX_PARAMETERS) {
                parseError = "the comment holds more than " + MAX_PARAMETERS + " names";
                return;
            }
            String name = pair.substring(0, equals).strip();
            if (parameters.put(name, pair.substring(equals + 1).strip()) != null) {
                parseError = "the comment holds " + name + " twice";
            }
            if (name.equals("d")) {
                delayStart = at + equals + 1;
                delayEnd = end;
            }
            at = end + 1;
        }
    }

    /** The error in the statement, or null; without one, the other accessors hold. */
    public String parseError() {
        return parseError;
    }

    /** The value of this parameter of the comment, or null. */
    public String parameter(String name) {
        return parameters.get(name);
    }

    /** A 64-bit hash of the quoted key, which identifies the session; never 0. */
    public long sessionId() {
        return sessionId;
    }

    /** Whether it is an INSERT. */
    public boolean isWrite() {
        return isWrite;
    }

    static long hash(String key) {
        // FNV-1a over 64 bits.
        long hash = 0xcbf29ce484222325L;
        for (byte b : key.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * 0x100000001b3L;
        }
        return hash == 0 ? 1 : hash;
    }

    /** The statement unchanged except for its parameter d, the time the sender waits, in milliseconds. */
    public String withDelayMillis(long millis) {
        return text.substring(0, delayStart)
                + millis
                + (text.substring(delayStart, delayEnd).endsWith(" ") ? " " : "")
                + text.substring(delayEnd);
    }
}
