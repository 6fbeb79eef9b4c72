package beaconladder.testbed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A list of hosts by versions: the whole of it, and what has changed since any of them. */
final class ChangeLog {
    private record Change(boolean full, List<String> entries) {}

    private static final Pattern ID = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]*)\"");
    /** The change at place n made version n + 1. */
    private final List<Change> changes = new ArrayList<>();

    private String whole;

    int version() {
        return changes.size();
    }

    void add(boolean full, List<String> entries) {
        List<String> each = new ArrayList<>();
        entries.forEach(some -> each.addAll(List.of(some.split("(?<=\\})\\s*,\\s*(?=\\{)"))));
        changes.add(new Change(full, each));
        whole = null;
    }

    /** The whole list; nothing before there is one. */
    String whole() {
        if (whole == null) {
            whole = changes.isEmpty() ? "" : body(true, collect(0).values());
        }
        return whole;
    }

    /** What has changed since that version: the whole list where it was set anew meanwhile. */
    String since(int index) {
        if (index >= version()) {
            return body(false, List.of());
        }
        return changes.subList(index, version()).stream().anyMatch(Change::full)
                ? whole()
                : body(false, collect(index).values());
    }

    int entriesSince(int index) {
        return index >= version() ? 0 : collect(Math.max(0, index)).size();
    }

    private Map<String, String> collect(int from) {
        Map<String, String> entries = new LinkedHashMap<>();
        for (Change change : changes.subList(from, version())) {
            if (change.full()) {
                entries.clear();
            }
            change.entries().forEach(e -> entries.put(id(e), e));
        }
        if (from == 0) {
            entries.values().removeIf(e -> e.contains("\"Gone\""));
        }
        return entries;
    }

    private static String id(String entry) {
        Matcher id = ID.matcher(entry);
        return id.find() ? id.group(1) : entry;
    }

    private String body(boolean full, Collection<String> entries) {
        return "{\"version\":" + version() + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }
}
