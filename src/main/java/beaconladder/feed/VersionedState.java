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
 * @param version the version, assigned only by the log, consecutively from 1; 0 is the empty state
 * @param entries the texts by document name
 * @param digest the hash of the version and all entries, as 32 hexadecimal digits
 */
public record VersionedState(
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) SortedMap<String, String> entries,
        @JsonProperty(required = true) String digest) {
    /**
     * The limit of all names and texts together, in characters: enough for a plan of some thousand tenants and settings
     * of the same size. A router holds two states at once, which have to stay far below its 64 MB for control.
     */
    public static final int MAX_CHARACTERS = 512 * 1024;
    /** The limit of the number of documents; an installation has some dozens. */
    static final int MAX_ENTRIES = 256;

    /** Copies the map so that the state is immutable. */
    public VersionedState {
        entries = Collections.unmodifiableSortedMap(new TreeMap<>(entries));
    }

    /** Returns version 0, which has no documents. */
    public static VersionedState empty() {
        return of(0, Map.of());
    }

    /** Creates a state and computes its digest. */
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

    /** Computes the digest of the actual contents, whether or not it equals {@link #digest}. */
    public String computeDigest() {
        return digest(version, entries);
    }

    /** Returns the number of characters of all names and texts, at most {@link #MAX_CHARACTERS} in a valid state. */
    @JsonIgnore
    public int characterCount() {
        return Documents.characterCount(entries);
    }

    @JsonIgnore
    boolean isWithinBounds() {
        return entries.size() <= MAX_ENTRIES && characterCount() <= MAX_CHARACTERS;
    }

    /**
     * Returns this state after checking all invariants, for a state that was received or read from disk.
     *
     * @throws InvalidStateException if a document or the digest is invalid, or a limit is exceeded
     */
    VersionedState validated() throws InvalidStateException {
        if (version < 0) {
            throw new InvalidStateException("a version below nought");
        }
        requireValid(entries);
        return requireWithinBounds().requireDigest(digest(version, entries));
    }

    private static void requireValid(Map<String, String> documents) throws InvalidStateException {
        String error = Documents.describeError(documents);
        if (error != null) {
            throw new InvalidStateException(error);
        }
    }

    private VersionedState requireWithinBounds() throws InvalidStateException {
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

    /** Returns the next version, with a proposal applied that the log commits. */
    VersionedState apply(Proposal proposal) {
        TreeMap<String, String> next = new TreeMap<>(entries);
        next.putAll(proposal.set());
        next.keySet().removeAll(proposal.remove());
        return of(version + 1, next);
    }

    /**
     * Returns a later version, with received changes applied; those up to this version are skipped. Only the digest of
     * the last change is checked, as the intermediate states are not built.
     *
     * @throws InvalidStateException if a version is missing, a document or the last digest is invalid, or a limit is
     *     exceeded
     */
    VersionedState apply(List<Change> changes) throws InvalidStateException {
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
        return of(nextVersion, next).requireWithinBounds().requireDigest(expectedDigest);
    }
}
