package beaconladder.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.io.InputStream;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses JSON with Jackson's streaming parser into maps in document order, lists, strings, exact {@link BigDecimal}
 * numbers, booleans and null.
 */
public final class JsonReader {
    /** The text is not valid JSON; the message states the position. */
    public static final class ParseException extends Exception {
        private static final long serialVersionUID = 1L;

        ParseException(long position, String message) {
            super("bad JSON at character " + position + ": " + message);
        }
    }

    /** Nesting depth: more than any document in use has, and little enough for a small thread stack. */
    private static final int MAX_DEPTH = 64;
    /**
     * Digits or scale of a number: no valid value exceeds it, and the plain text of a longer one would take much
     * memory.
     */
    private static final int MAX_NUMBER_LENGTH = 400;

    /** Rejects duplicate names, as it would be unclear which value applies. */
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_DEPTH)
                    .maxNumberLength(MAX_NUMBER_LENGTH)
                    .build())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private JsonReader() {}

    /**
     * Parses a text that consists of one JSON value.
     *
     * @throws ParseException if the text is anything else
     */
    public static Object parse(String text) throws ParseException {
        try (JsonParser json = FACTORY.createParser(text)) {
            if (json.nextToken() == null) {
                throw new ParseException(0, "the text ends where a value belongs");
            }
            Object value = readValue(json);
            if (json.nextToken() != null) {
                throw new ParseException(json.currentTokenLocation().getCharOffset(), "more after the value");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw parseException(e);
        } catch (IOException e) {
            throw new ParseException(0, e.toString());
        }
    }

    /** Creates a parser for a stream of bytes; positions in its exceptions count bytes. */
    static JsonParser createParser(InputStream in) throws IOException {
        return FACTORY.createParser(in);
    }

    static ParseException parseException(JsonProcessingException e) {
        long position = e.getLocation() == null
                ? 0
                : Math.max(e.getLocation().getCharOffset(), e.getLocation().getByteOffset());
        // For a truncated text Jackson's message adds where the value started, which is not the position of the error.
        return new ParseException(
                position, e.getOriginalMessage().replaceFirst(" \\((start marker|for \\w+ starting) at .*", ""));
    }

    /** Reads the value that starts with the current token. */
    static Object readValue(JsonParser json) throws IOException, ParseException {
        switch (json.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (json.nextToken() != JsonToken.END_OBJECT) {
                    String name = json.currentName();
                    json.nextToken();
                    map.put(name, readValue(json));
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (json.nextToken() != JsonToken.END_ARRAY) {
                    list.add(readValue(json));
                }
                return list;
            }
            case VALUE_STRING -> {
                return json.getText();
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return readNumber(json);
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return json.getBooleanValue();
            }
            default -> {
                return null;
            }
        }
    }

    private static BigDecimal readNumber(JsonParser json) throws IOException, ParseException {
        try {
            BigDecimal number = new BigDecimal(json.getText());
            if (Math.abs((long) number.scale()) <= MAX_NUMBER_LENGTH) {
                return number;
            }
        } catch (NumberFormatException e) {
            // The exponent does not fit an int.
        }
        throw new ParseException(json.currentTokenLocation().getCharOffset(), "a number out of range");
    }

    /**
     * Flattens a value to dotted names, the format of the simulator's settings. Scalar values of a list are joined by
     * commas, the length of a list of objects is stored under {@code count}, and spaces and commas within values become
     * underscores.
     *
     * @param name the name of the value, empty for the root
     * @param into receives the names and values
     */
    public static void flatten(String name, Object value, Map<String, String> into) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, member) -> flatten(name.isEmpty() ? (String) key : name + "." + key, member, into));
        } else if (value instanceof List<?> list) {
            if (!list.isEmpty() && list.get(0) instanceof Map) {
                into.put(name + ".count", String.valueOf(list.size()));
                for (int i = 0; i < list.size(); i++) {
                    flatten(name + "." + i, list.get(i), into);
                }
            } else {
                into.put(
                        name,
                        String.join(",", list.stream().map(JsonReader::flatText).toList()));
            }
        } else if (value != null) {
            into.put(name, flatText(value));
        }
    }

    private static String flatText(Object value) {
        return value instanceof BigDecimal number
                ? number.toPlainString()
                : String.valueOf(value).replace(' ', '_').replace(',', '_');
    }
}
