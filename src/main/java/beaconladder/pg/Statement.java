package beaconladder.pg;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A client's statement with the names and values of its comment. */
public final class Statement {
    private final String text;
    private final Map<String, String> values = new HashMap<>();
    private int delayFrom = -1;
    private int delayTo;
    private String fault;

    private Statement(String text) {
        this.text = text;
    }

    /** Reads the statement; what is wrong with it is told by {@link #fault}. */
    public static Statement read(String text) {
        Statement statement = new Statement(text);
        int from = text.lastIndexOf("/*");
        int to = text.indexOf("*/", from < 0 ? 0 : from + 2);
        if (from < 0) {
            statement.fault = "the statement has no comment with id, c, d and cluster";
        } else if (to < 0) {
            statement.fault = "the comment is not closed";
        } else {
            statement.readComment(from + 2, to);
        }
        return statement;
    }

    private void readComment(int from, int to) {
        for (int at = from; at <= to;) {
            int comma = text.indexOf(',', at);
            int end = comma < 0 || comma > to ? to : comma;
            String pair = text.substring(at, end);
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                fault = "the comment holds '" + pair.strip() + "' where a name and its value belong";
                return;
            }
            String name = pair.substring(0, equals).strip();
            values.put(name, pair.substring(equals + 1).strip());
            if (name.equals("d")) {
                delayFrom = at + equals + 1;
                delayTo = end;
            }
            at = end + 1;
        }
    }

    /** What can't be read in it, or null. */
    public String fault() {
        return fault;
    }

    /** The value of this name, or null. */
    public String value(String name) {
        return values.get(name);
    }

    /** The first quoted text, which names the session, as a number that is not 0. */
    public long session() {
        int from = text.indexOf('\'');
        int to = text.indexOf('\'', from + 1);
        if (from < 0 || to < 0) {
            return 0;
        }
        // FNV-1a over 64 bits.
        long hash = 0xcbf29ce484222325L;
        for (byte b : text.substring(from + 1, to).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * 0x100000001b3L;
        }
        return hash == 0 ? 1 : hash;
    }

    /** The statement as it came, but for the time that the sender will wait. */
    public String waiting(long millis) {
        return text.substring(0, delayFrom) + millis
                + (text.substring(delayFrom, delayTo).endsWith(" ") ? " " : "") + text.substring(delayTo);
    }
}
