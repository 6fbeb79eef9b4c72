package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A change that somebody wants.
 *
 * @param against the version that it was made against; the log takes it only while that is the newest
 */
public record Proposal(
        @JsonProperty(required = true) long against,
        @JsonProperty(required = true) Map<String, String> set,
        @JsonProperty(required = true) List<String> remove) {
    private static final String NAME = "[A-Za-z0-9_.-]{1,64}";

    /** Copies, so that nobody changes it later. */
    public Proposal {
        set = java.util.Collections.unmodifiableMap(new TreeMap<>(set));
        remove = List.copyOf(remove);
    }

    /** Whether this can be a name of a document, a relay or a router. */
    public static boolean isName(String name) {
        return name != null && name.matches(NAME);
    }

    static int size(Map<String, String> entries) {
        return entries.entrySet().stream()
                .mapToInt(each -> each.getKey().length() + each.getValue().length())
                .sum();
    }

    static void check(Map<String, String> entries) throws IOException {
        for (Map.Entry<String, String> each : entries.entrySet()) {
            if (!isName(each.getKey())) {
                throw new IOException("'" + each.getKey() + "' is no name of a document");
            }
            if (each.getValue() == null) {
                throw new IOException("'" + each.getKey() + "' has no text");
            }
        }
    }

    /** A proposal from outside, or what is wrong with it. */
    public Proposal checked() throws IOException {
        check(set);
        for (String name : remove) {
            if (!isName(name)) {
                throw new IOException("'" + name + "' is no name of a document");
            }
            if (set.containsKey(name)) {
                throw new IOException("'" + name + "' is set and removed at once");
            }
        }
        if (against < 0 || set.isEmpty() && remove.isEmpty()) {
            throw new IOException(against < 0 ? "made against a version below nought" : "nothing is changed");
        }
        if (set.size() + remove.size() > VersionedState.MOST_ENTRIES || size(set) > VersionedState.LARGEST) {
            throw new IOException("a change of more than " + VersionedState.LARGEST + " characters or "
                    + VersionedState.MOST_ENTRIES + " entries");
        }
        return this;
    }
}
