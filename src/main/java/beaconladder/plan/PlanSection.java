package beaconladder.plan;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads words, measures and options of a section; every error is added to the draft with its position. */
abstract class PlanSection {
    static final Map<String, Double> NANOS_BY_UNIT = Map.of("ms", 1e6, "s", 1e9, "min", 60e9, "h", 3600e9);
    static final Map<String, Double> BYTES_BY_UNIT = Map.of("MB", 0x1p20, "GB", 0x1p30);
    static final long NANOS_PER_MILLI = 1_000_000;

    private static final Pattern MEASURE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)([a-zA-Z%/]*)");

    final PlanDraft draft;

    PlanSection(PlanDraft draft) {
        this.draft = draft;
    }

    /** Adds an error at this node, or at the start of the file if it is null. */
    final void error(SyntaxNode node, String message) {
        draft.errors.add(
                new PlanError(draft.file, node == null ? 1 : node.line(), node == null ? 1 : node.column(), message));
    }

    /** Whether this is the first statement of its kind and name; if not, an error is added. */
    final boolean unique(SyntaxNode list, String kind, String name) {
        SyntaxNode before = draft.positions.putIfAbsent(kind + " " + name, list);
        if (before != null) {
            error(list, kind + " " + name + " is stated already, at line " + before.line());
        }
        return before == null;
    }

    /** The name behind the head, or "?" after an error. */
    final String name(SyntaxNode list) {
        SyntaxNode name = list.items().size() > 1 ? list.items().get(1) : list;
        if (name.isList() || !name.text().matches("[A-Za-z0-9_.-]{1,64}")) {
            error(name, "the name of a " + list.head() + " belongs here: letters, digits, _ . -");
            return "?";
        }
        return name.text();
    }

    /** The lists from this index on, each with one of these heads and at most once. */
    final List<SyntaxNode> options(SyntaxNode list, int from, String... heads) {
        List<SyntaxNode> valid = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (SyntaxNode item : list.items()
                .subList(Math.min(from, list.items().size()), list.items().size())) {
            String head = String.valueOf(item.head());
            if (!List.of(heads).contains(head)) {
                error(
                        item,
                        "one of (" + String.join(" ...) (", heads) + " ...) belongs here"
                                + (item.head() == null
                                        ? ""
                                        : ", not '" + head + "'" + WordDistance.nearest(head, Set.of(heads))));
            } else if (!seen.add(head)) {
                error(item, head + " is stated twice");
            } else {
                valid.add(item);
            }
        }
        return valid;
    }

    /** The only value of an option, or an empty word after an error. */
    final SyntaxNode singleValue(SyntaxNode item) {
        if (item.items().size() != 2) {
            error(item, "(" + item.head() + " ...) takes one value");
            return new SyntaxNode(item.line(), item.column(), "", false, List.of());
        }
        return item.items().get(1);
    }

    /** The text of a word, or "?" after an error. */
    final String word(SyntaxNode node) {
        if (node.isList() || node.text().isEmpty()) {
            error(node, "a word belongs here");
            return "?";
        }
        return node.text();
    }

    /** A percentage as a fraction, above 0 and up to 1, or 0 after an error. */
    final double share(SyntaxNode node) {
        double share = measure(node, Map.of("%", 0.01), "a share such as 25%");
        if (share > 1 || share == 0) {
            error(node, "a share lies above 0% and up to 100%");
        }
        return Math.max(0, share);
    }

    /** A number times the factor of its unit, or -1 after an error. */
    final double measure(SyntaxNode node, Map<String, Double> units, String expected) {
        Matcher form = MEASURE.matcher(node.isList() ? "" : node.text());
        Double unit = form.matches() ? units.get(form.group(2)) : null;
        if (unit == null) {
            String none = form.matches() && form.group(2).isEmpty() ? " has no unit" : " is not one";
            error(node, expected + " belongs here; " + (node.isList() ? "a list" : "'" + node.text() + "'") + none);
            return -1;
        }
        return Double.parseDouble(form.group(1)) * unit;
    }

    /** A number of up to nine digits, or null after an error. */
    final Integer number(SyntaxNode node) {
        if (node.isList() || !node.text().matches("[0-9]{1,9}")) {
            error(node, "the number of a group belongs here");
            return null;
        }
        return Integer.valueOf(node.text());
    }

    /** An IP address with a port; names are not resolved. */
    final InetSocketAddress address(SyntaxNode node) {
        Matcher form =
                Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:.]+\\]):([0-9]{1,5})").matcher(word(node));
        if (form.matches() && Integer.parseInt(form.group(2)) <= 65_535) {
            InetSocketAddress address = new InetSocketAddress(form.group(1), Integer.parseInt(form.group(2)));
            if (!address.isUnresolved()) {
                return address;
            }
        }
        error(node, "an address with a port belongs here, such as 127.0.0.1:7070; names are not looked up");
        return new InetSocketAddress(0);
    }

    /** A host name or address with a port, unresolved. */
    final String hostAndPort(SyntaxNode node) {
        String text = word(node);
        if (!text.matches("[A-Za-z0-9.-]{1,255}:[0-9]{1,5}")
                || Integer.parseInt(text.substring(text.indexOf(':') + 1)) > 65_535) {
            error(node, "a host with a port belongs here, such as 10.0.0.4:7101");
        }
        return text;
    }
}
