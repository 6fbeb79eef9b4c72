package beaconladder.feed;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** The query parameters of a request, decoded. */
final class QueryString {
    private static final String MALFORMED = "a query that is not whole";

    private final Map<String, String> values = new HashMap<>();

    /**
     * Parses the part of a URI after the question mark.
     *
     * @param raw the encoded text, or null for none
     * @throws InvalidMessageException if a part is not of the form {@code name=value}, or a name occurs twice
     */
    QueryString(String raw) throws InvalidMessageException {
        if (raw == null || raw.isEmpty()) {
            return;
        }
        for (String part : raw.split("&")) {
            int equals = part.indexOf('=');
            if (equals < 1
                    || values.putIfAbsent(part.substring(0, equals), decode(part.substring(equals + 1))) != null) {
                throw new InvalidMessageException(MALFORMED);
            }
        }
    }

    private static String decode(String text) throws InvalidMessageException {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new InvalidMessageException(MALFORMED, e);
        }
    }

    /** Returns the value of a parameter, or null. */
    String text(String name) {
        return values.get(name);
    }

    /** Returns whether a flag is set, that is, has the value 1. */
    boolean isSet(String name) {
        return "1".equals(values.get(name));
    }

    /**
     * Returns the value of a required numeric parameter.
     *
     * @throws InvalidMessageException if it is missing or not a number from 0 to {@code max}
     */
    long number(String name, long max) throws InvalidMessageException {
        String text = values.get(name);
        if (text == null || !text.matches("[0-9]{1,18}") || Long.parseLong(text) > max) {
            throw new InvalidMessageException(name + " is no number up to " + max);
        }
        return Long.parseLong(text);
    }
}
