package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A committed change, from one version to the next.
 *
 * @param version the version after the change
 * @param set the texts of added or replaced documents, by name
 * @param remove the names of removed documents
 * @param digest the digest of the state after the change
 */
public record Change(
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) Map<String, String> set,
        @JsonProperty(required = true) List<String> remove,
        @JsonProperty(required = true) String digest) {
    /** Copies the collections so that the change is immutable. */
    public Change {
        set = Collections.unmodifiableMap(new TreeMap<>(set));
        remove = List.copyOf(remove);
    }

    /** Returns the number of characters that count towards the limit of a history. */
    @JsonIgnore
    int characterCount() {
        return Documents.characterCount(set)
                + remove.stream().mapToInt(String::length).sum();
    }
}
