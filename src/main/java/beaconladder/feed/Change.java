package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What leads from one version to the next.
 *
 * @param version the one that it leads to
 * @param set texts that are new or take the place of older ones, by name
 * @param remove names that are gone
 * @param digest of the state with it
 */
public record Change(
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) Map<String, String> set,
        @JsonProperty(required = true) List<String> remove,
        @JsonProperty(required = true) String digest) {
    /** Copies, so that nobody changes it later. */
    public Change {
        set = java.util.Collections.unmodifiableMap(new TreeMap<>(set));
        remove = List.copyOf(remove);
    }

    /** How much of the bound it takes. */
    @JsonIgnore
    int characterCount() {
        return Proposal.characterCount(set)
                + remove.stream().mapToInt(String::length).sum();
    }
}
