package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A proposed change. The log commits it by compare-and-set: only while the version that it is based on is the newest.
 *
 * @param baseVersion the version that the change is based on
 * @param set texts of new or replaced documents, by name
 * @param remove names of documents to remove
 */
public record Proposal(
        @JsonProperty(value = "against", required = true) long baseVersion,
        @JsonProperty(required = true) Map<String, String> set,
        @JsonProperty(required = true) List<String> remove) {
    /** Copies the collections, so that the proposal is immutable. */
    public Proposal {
        set = Collections.unmodifiableMap(new TreeMap<>(set));
        remove = List.copyOf(remove);
    }

    /** Whether this can be the name of a document, a relay or a router: 1 to 64 letters, digits, {@code _ . -}. */
    public static boolean isValidName(String name) {
        return Documents.isValidName(name);
    }

    /**
     * This proposal, if it satisfies all rules that can be checked without the log.
     *
     * @throws InvalidProposalException if a name is invalid, nothing is changed, or a bound is exceeded
     */
    public Proposal validated() throws InvalidProposalException {
        String fault = fault();
        if (fault != null) {
            throw new InvalidProposalException(fault);
        }
        return this;
    }

    private String fault() {
        String fault = Documents.fault(set);
        if (fault != null) {
            return fault;
        }
        for (String name : remove) {
            if (!isValidName(name)) {
                return Documents.nameFault(name);
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
