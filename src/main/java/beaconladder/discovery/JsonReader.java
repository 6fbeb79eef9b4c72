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

/** Reads JSON into maps, lists, texts, exact numbers, truths and null, by Jackson's streaming parser. */
public final class JsonReader {

    /** Text that is no JSON; the message names the place. */
    public static final class ParseException extends Exception {
        private static final long serialVersionUID = 1L;

        ParseException(long at, String cause) {
            super("bad JSON at character " + at + ": " + cause);
        }
    }

    /** Deeper than anything in use, and shallow enough for a small stack. */
    private static final int DEEPEST = 64;
    /** Beyond this a number is no figure of ours, and writing it out would cost memory. */
    private static final int LONGEST_NUMBER = 400;

    /** A name told twice makes the whole void: nobody knows which of them was meant. */
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(DEEPEST)
                    .maxNumberLength(LONGEST_NUMBER)
                    .build())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private JsonReader() {}

    public static Object parse(String text) throws ParseException {
        try (JsonParser json = FACTORY.createParser(text)) {
            if (json.nextToken() == null) {
                throw new ParseException(0, "the text ends where a value belongs");
            }
            Object value = value(json);
            if (json.nextToken() != null) {
                throw new ParseException(json.currentTokenLocation().getCharOffset(), "more after the value");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw fault(e);
        } catch (IOException e) {
            throw new ParseException(0, e.toString());
        }
    }

    /** Reads bytes as they come; the place in a fault is then that of a byte. */
    static JsonParser parser(InputStream in) throws IOException {
        return FACTORY.createParser(in);
    }

    static ParseException fault(JsonProcessingException e) {
        long at = e.getLocation() == null
                ? 0
                : Math.max(e.getLocation().getCharOffset(), e.getLocation().getByteOffset());
        // Where it began, of a text that ends too soon, is of no help to who is told the place.
        return new ParseException(
                at, e.getOriginalMessage().replaceFirst(" \\((start marker|for \\w+ starting) at .*", ""));
    }

    /** The value that begins with the present token. */
    static Object value(JsonParser json) throws IOException, ParseException {
        switch (json.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (json.nextToken() != JsonToken.END_OBJECT) {
                    String name = json.currentName();
                    json.nextToken();
                    map.put(name, value(json));
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (json.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(json));
                }
                return list;
            }
            case VALUE_STRING -> {
                return json.getText();
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return number(json);
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return json.getBooleanValue();
            }
            default -> {
                return null;
            }
        }
    }

    private static BigDecimal number(JsonParser json) throws IOException, ParseException {
        try {
            BigDecimal number = new BigDecimal(json.getText());
            if (Math.abs((long) number.scale()) <= LONGEST_NUMBER) {
                return number;
            }
        } catch (NumberFormatException e) {
            // An exponent that no figure has.
        }
        throw new ParseException(json.currentTokenLocation().getCharOffset(), "a number out of range");
    }

    /**
     * A value as the drill's flat lines have it: plain values of a list are joined by commas, a list of objects states
     * its length under count, spaces and commas inside of values become underscores.
     */
    public static void flatten(String name, Object value, Map<String, String> into) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((k, v) -> flatten(name.isEmpty() ? (String) k : name + "." + k, v, into));
        } else if (value instanceof List<?> list) {
            if (!list.isEmpty() && list.get(0) instanceof Map) {
                into.put(name + ".count", String.valueOf(list.size()));
                for (int i = 0; i < list.size(); i++) {
                    flatten(name + "." + i, list.get(i), into);
                }
            } else {
                into.put(
                        name,
                        String.join(",", list.stream().map(JsonReader::plain).toList()));
            }
        } else if (value != null) {
            into.put(name, plain(value));
        }
    }

    private static String plain(Object value) {
        return value instanceof BigDecimal number
                ? number.toPlainString()
                : String.valueOf(value).replace(' ', '_').replace(',', '_');
    }
}
