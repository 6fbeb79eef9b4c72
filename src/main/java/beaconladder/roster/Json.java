package beaconladder.roster;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, texts, exact numbers, truths and null. */
public final class Json {

    /** Text that is no JSON; the message names the place. */
    public static final class Fault extends Exception {
        private static final long serialVersionUID = 1L;

        Fault(int at, String cause) {
            super("bad JSON at character " + at + ": " + cause);
        }
    }

    /** Deeper than anything in use, and shallow enough for a small stack. */
    private static final int DEEPEST = 64;

    private final String text;
    private int at;
    private int depth;

    private Json(String text) {
        this.text = text;
    }

    public static Object read(String text) throws Fault {
        Json json = new Json(text);
        Object value = json.value();
        json.blanks();
        if (json.at < text.length()) {
            throw new Fault(json.at, "more after the value");
        }
        return value;
    }

    /**
     * A value as the drill's flat lines have it: plain values of a list are joined by commas, a list of
     * objects states its length under count, spaces and commas inside of values become underscores.
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
                into.put(name, String.join(",", list.stream().map(Json::plain).toList()));
            }
        } else if (value != null) {
            into.put(name, plain(value));
        }
    }

    private static String plain(Object value) {
        return value instanceof BigDecimal number ? number.toPlainString()
                : String.valueOf(value).replace(' ', '_').replace(',', '_');
    }

    private Object value() throws Fault {
        blanks();
        if (at == text.length()) {
            throw new Fault(at, "the text ends where a value belongs");
        }
        char c = text.charAt(at);
        return switch (c) {
            case '{' -> object();
            case '[' -> list();
            case '"' -> string();
            case 't' -> word("true", Boolean.TRUE);
            case 'f' -> word("false", Boolean.FALSE);
            case 'n' -> word("null", null);
            default -> number();
        };
    }

    private Map<String, Object> object() throws Fault {
        Map<String, Object> map = new LinkedHashMap<>();
        enter();
        if (!closes('}')) {
            do {
                blanks();
                if (at == text.length() || text.charAt(at) != '"') {
                    throw new Fault(at, "a name in quotes belongs here");
                }
                String name = string();
                blanks();
                need(':');
                map.put(name, value());
            } while (goesOn('}'));
        }
        depth--;
        return map;
    }

    private List<Object> list() throws Fault {
        List<Object> list = new ArrayList<>();
        enter();
        if (!closes(']')) {
            do {
                list.add(value());
            } while (goesOn(']'));
        }
        depth--;
        return list;
    }

    private void enter() throws Fault {
        at++;
        if (++depth > DEEPEST) {
            throw new Fault(at, "nested too deep");
        }
    }

    private boolean closes(char end) {
        blanks();
        boolean closed = at < text.length() && text.charAt(at) == end;
        at += closed ? 1 : 0;
        return closed;
    }

    private boolean goesOn(char end) throws Fault {
        if (closes(end)) {
            return false;
        }
        need(',');
        return true;
    }

    private void need(char c) throws Fault {
        if (at == text.length() || text.charAt(at) != c) {
            throw new Fault(at, "'" + c + "' belongs here");
        }
        at++;
    }

    private Object word(String word, Object value) throws Fault {
        if (!text.startsWith(word, at)) {
            throw new Fault(at, "no value");
        }
        at += word.length();
        return value;
    }

    private BigDecimal number() throws Fault {
        int from = at;
        while (at < text.length() && "+-.0123456789eE".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        try {
            BigDecimal number = new BigDecimal(text.substring(from, at));
            // Beyond this a number is no figure of ours, and writing it out would cost memory.
            if (Math.abs(number.scale()) > 400) {
                throw new Fault(from, "a number out of range");
            }
            return number;
        } catch (NumberFormatException e) {
            throw new Fault(from, "no value");
        }
    }

    private String string() throws Fault {
        StringBuilder s = new StringBuilder();
        at++;
        while (at < text.length()) {
            char c = text.charAt(at++);
            if (c == '"') {
                return s.toString();
            }
            if (c < ' ') {
                throw new Fault(at - 1, "a control character in a text");
            }
            s.append(c == '\\' ? escaped() : c);
        }
        throw new Fault(at, "a text that does not end");
    }

    private char escaped() throws Fault {
        char c = at < text.length() ? text.charAt(at++) : 0;
        int known = "\"\\/bfnrt".indexOf(c);
        if (known >= 0) {
            return "\"\\/\b\f\n\r\t".charAt(known);
        }
        if (c == 'u' && at + 4 <= text.length()) {
            try {
                char code = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                at += 4;
                return code;
            } catch (NumberFormatException e) {
                throw new Fault(at, "no character code");
            }
        }
        throw new Fault(at, "an unknown escape");
    }

    private void blanks() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
    }
}
