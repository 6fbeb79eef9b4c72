package beaconladder.feed;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** The part of a request behind its question mark. */
final class QueryString {
    private final Map<String, String> values = new HashMap<>();

    QueryString(String raw) throws IOException {
        if (raw == null || raw.isEmpty()) {
            return;
        }
        for (String part : raw.split("&")) {
            int equals = part.indexOf('=');
            if (equals < 1
                    || values.putIfAbsent(part.substring(0, equals), decoded(part.substring(equals + 1))) != null) {
                throw new IOException("a query that is not whole");
            }
        }
    }

    private static String decoded(String text) throws IOException {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new IOException("a query that is not whole", e);
        }
    }

    /** The text of this name, or null. */
    String text(String name) {
        return values.get(name);
    }

    boolean is(String name) {
        return "1".equals(values.get(name));
    }

    /** A number that is not below nought and at most so large. */
    long number(String name, long most) throws IOException {
        String text = values.get(name);
        if (text == null || !text.matches("[0-9]{1,18}") || Long.parseLong(text) > most) {
            throw new IOException(name + " is no number up to " + most);
        }
        return Long.parseLong(text);
    }
}
