package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A proposed change. The log commits it by compare-and-set, only if its base version is the newest version.
 *
 * @param baseVersion the version that the change is based on
 * @param set the texts of documents to add or replace, by name
 * @param remove the names of documents to remove
 */
public record Proposal(
        @JsonProperty(value = "against", required = true) long baseVersion,
        @JsonProperty(required = true) Map<String, String> set,
        @JsonProperty(required = true) List<String> remove) {
    /** Copies the collections so that the proposal is immutable. */
    public Proposal {
        set = Collections.unmodifiableMap(new TreeMap<>(set));
        remove = List.copyOf(remove);
    }

    /** Returns whether a name is valid for a document, a relay or a router: 1 to 64 letters, digits, {@code _ . -}. */
    public static boolean isValidName(String name) {
        return Documents.isValidName(name);
    }

    /**
     * Returns this proposal after all checks that do not need the log.
     *
     * @throws InvalidProposalException if a name is invalid, nothing is changed, or a limit is exceeded
     */
    public Proposal validated() throws InvalidProposalException {
        String error = describeError();
        if (error != null) {
            throw new InvalidProposalException(error);
        }
        return this;
    }

    private String describeError() {
        String error = Documents.describeError(set);
        if (error != null) {
            return error;
        }
        for (String name : remove) {
            if (!isValidName(name)) {
                return Documents.describeInvalidName(name);
            }
            if (set.containsKey(name)) {
                return "'" + name + "' is set and removed at once";
            }
        }
        if (baseVersion < 0) {
            return "made against a version below nought";
        }
        if (set.isEmpty() && remove.isEmpty()) {
            return "nothing is changed";
        }
        if (set.size() + remove.size() > VersionedState.MAX_ENTRIES
                || Documents.characterCount(set) > VersionedState.MAX_CHARACTERS) {
            return "a change of more than " + VersionedState.MAX_CHARACTERS + " characters or "
                    + VersionedState.MAX_ENTRIES + " entries";
        }
        return null;
    }
}
