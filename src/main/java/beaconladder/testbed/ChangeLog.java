package beaconladder.testbed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A versioned list of hosts: gives the whole list, and the changes since any version. */
final class ChangeLog {
    private record Change(boolean full, List<String> entries) {}

    private static final Pattern ID = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]*)\"");
    /** The changes in order; the change at index n led to version n + 1. */
    private final List<Change> changes = new ArrayList<>();

    /** The JSON of the whole list at the current version, or null if it has to be built. */
    private String fullList;

    int version() {
        return changes.size();
    }

    /** Adds a version. Each string may hold several entries, joined by commas. */
    void add(boolean full, List<String> entries) {
        List<String> separateEntries = new ArrayList<>();
        entries.forEach(joined -> separateEntries.addAll(List.of(joined.split("(?<=\\})\\s*,\\s*(?=\\{)"))));
        changes.add(new Change(full, separateEntries));
        fullList = null;
    }

    /** Returns the JSON of the whole list, or an empty string before the first version. */
    String fullList() {
        if (fullList == null) {
            fullList = changes.isEmpty() ? "" : json(true, collect(0).values());
        }
        return fullList;
    }

    /** Returns the JSON of the changes since a version, or of the whole list if it has been replaced since then. */
    String changesSince(int version) {
        if (version >= version()) {
            return json(false, List.of());
        }
        return changes.subList(version, version()).stream().anyMatch(Change::full)
                ? fullList()
                : json(false, collect(version).values());
    }

    /** Returns how many entries have changed since a version; a negative version counts as 0. */
    int entriesSince(int version) {
        return version >= version() ? 0 : collect(Math.max(0, version)).size();
    }

    /** Returns the newest entry of each host that has changed since a version; from version 0, without those gone. */
    private Map<String, String> collect(int fromVersion) {
        Map<String, String> entries = new LinkedHashMap<>();
        for (Change change : changes.subList(fromVersion, version())) {
            if (change.full()) {
                entries.clear();
            }
            change.entries().forEach(e -> entries.put(id(e), e));
        }
        if (fromVersion == 0) {
            entries.values().removeIf(e -> e.contains("\"Gone\""));
        }
        return entries;
    }

    private static String id(String entry) {
        Matcher matcher = ID.matcher(entry);
        return matcher.find() ? matcher.group(1) : entry;
    }

    private String json(boolean full, Collection<String> entries) {
        return "{\"version\":" + version() + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }
}
