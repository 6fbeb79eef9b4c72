package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A change that somebody wants.
 *
 * @param baseVersion the version that it was made baseVersion; the log takes it only while that is the newest
 */
public record Proposal(
        @JsonProperty(value = "against", required = true) long baseVersion,
        @JsonProperty(required = true) Map<String, String> set,
        @JsonProperty(required = true) List<String> remove) {
    private static final String NAME = "[A-Za-z0-9_.-]{1,64}";

    /** Copies, so that nobody changes it later. */
    public Proposal {
        set = java.util.Collections.unmodifiableMap(new TreeMap<>(set));
        remove = List.copyOf(remove);
    }

    /** Whether this can be a name of a document, a relay or a router. */
    public static boolean isValidName(String name) {
        return name != null && name.matches(NAME);
    }

    static int characterCount(Map<String, String> entries) {
        return entries.entrySet().stream()
                .mapToInt(each -> each.getKey().length() + each.getValue().length())
                .sum();
    }

    static void check(Map<String, String> entries) throws InvalidProposalException {
        for (Map.Entry<String, String> each : entries.entrySet()) {
            if (!isValidName(each.getKey())) {
                throw new InvalidProposalException("'" + each.getKey() + "' is no name of a document");
            }
            if (each.getValue() == null) {
                throw new InvalidProposalException("'" + each.getKey() + "' has no text");
            }
        }
    }

    /** A proposal from outside, or what is wrong with it. */
    public Proposal validated() throws InvalidProposalException {
        check(set);
        for (String name : remove) {
            if (!isValidName(name)) {
                throw new InvalidProposalException("'" + name + "' is no name of a document");
            }
            if (set.containsKey(name)) {
                throw new InvalidProposalException("'" + name + "' is set and removed at once");
            }
        }
        if (baseVersion < 0 || set.isEmpty() && remove.isEmpty()) {
            throw new InvalidProposalException(
                    baseVersion < 0 ? "made against a version below nought" : "nothing is changed");
        }
        if (set.size() + remove.size() > VersionedState.MAX_ENTRIES
                || characterCount(set) > VersionedState.MAX_CHARACTERS) {
            throw new InvalidProposalException("a change of more than " + VersionedState.MAX_CHARACTERS
                    + " characters or " + VersionedState.MAX_ENTRIES + " entries");
        }
        return this;
    }
}
