package beaconladder.feed;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All documents of one version: settings and plans. Immutable.
 *
 * @param version assigned by the log alone, consecutively from 1; 0 is the empty state
 * @param entries texts by document name
 * @param digest over the version and all entries, as 32 hexadecimal digits
 */
public record VersionedState(
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) SortedMap<String, String> entries,
        @JsonProperty(required = true) String digest) {
    /**
     * Bound on all names and texts together, in characters: a plan of some thousand tenants, and settings of the same
     * size. A router holds two states at once, which have to stay far below its 64 MB for control.
     */
    public static final int MAX_CHARACTERS = 512 * 1024;
    /** Bound on the documents; an installation has some dozens. */
    static final int MAX_ENTRIES = 256;

    /** Copies the map, so that the state is immutable. */
    public VersionedState {
        entries = Collections.unmodifiableSortedMap(new TreeMap<>(entries));
    }

    /** Version 0, without documents. */
    public static VersionedState empty() {
        return of(0, Map.of());
    }

    /** A state with its digest. */
    static VersionedState of(long version, Map<String, String> entries) {
        TreeMap<String, String> sorted = new TreeMap<>(entries);
        return new VersionedState(version, sorted, digest(version, sorted));
    }

    private static String digest(long version, SortedMap<String, String> entries) {
        HashStream128 hash = Hashing.xxh3_128().hashStream().putLong(version);
        entries.forEach((name, text) -> hash.putString(name).putString(text));
        HashValue128 value = hash.get();
        return String.format("%016x%016x", value.getMostSignificantBits(), value.getLeastSignificantBits());
    }

    /** The digest of the actual contents, whether or not {@link #digest} is right. */
    public String computeDigest() {
        return digest(version, entries);
    }

    /** Characters of all names and texts; at most {@link #MAX_CHARACTERS} in a valid state. */
    @JsonIgnore
    public int characterCount() {
        return Documents.characterCount(entries);
    }

    @JsonIgnore
    boolean isWithinBounds() {
        return entries.size() <= MAX_ENTRIES && characterCount() <= MAX_CHARACTERS;
    }

    /**
     * This state, if what came from outside satisfies all invariants.
     *
     * @throws InvalidStateException if a document, a bound or the digest is wrong
     */
    VersionedState validated() throws InvalidStateException {
        if (version < 0) {
            throw new InvalidStateException("a version below nought");
        }
        requireValid(entries);
        return requireBounds().requireDigest(digest(version, entries));
    }

    private static void requireValid(Map<String, String> documents) throws InvalidStateException {
        String fault = Documents.fault(documents);
        if (fault != null) {
            throw new InvalidStateException(fault);
        }
    }

    private VersionedState requireBounds() throws InvalidStateException {
        if (!isWithinBounds()) {
            throw new InvalidStateException(
                    "a state of more than " + MAX_CHARACTERS + " characters or " + MAX_ENTRIES + " entries");
        }
        return this;
    }

    private VersionedState requireDigest(String expected) throws InvalidStateException {
        if (!expected.equals(digest)) {
            throw new InvalidStateException("version " + version + " does not have the digest that came with it");
        }
        return this;
    }

    /** The next version, by a proposal that the log commits. */
    VersionedState after(Proposal proposal) {
        TreeMap<String, String> next = new TreeMap<>(entries);
        next.putAll(proposal.set());
        next.keySet().removeAll(proposal.remove());
        return of(version + 1, next);
    }

    /**
     * A later version, by changes from outside; those up to this version are skipped. Only the digest of the last
     * change is checked: the states between are not built.
     *
     * @throws InvalidStateException if a version is missing, or a document, a bound or the last digest is wrong
     */
    VersionedState after(List<Change> changes) throws InvalidStateException {
        TreeMap<String, String> next = new TreeMap<>(entries);
        long nextVersion = version;
        for (Change change : changes) {
            if (change.version() <= version) {
                continue;
            }
            if (change.version() != ++nextVersion) {
                throw new InvalidStateException(
                        "a change to version " + change.version() + " where " + nextVersion + " is next");
            }
            requireValid(change.set());
            next.putAll(change.set());
            next.keySet().removeAll(change.remove());
        }
        if (nextVersion == version) {
            return this;
        }
        String expectedDigest = changes.get(changes.size() - 1).digest();
        return of(nextVersion, next).requireBounds().requireDigest(expectedDigest);
    }
}
