package beaconladder.feed;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What is to be in force, whole: settings and plans as texts by name. The log alone gives versions, one after the other
 * from 1; a version has one digest, over it and all texts.
 */
public record VersionedState(
        @JsonProperty(required = true) long version,
        @JsonProperty(required = true) SortedMap<String, String> entries,
        @JsonProperty(required = true) String digest) {
    /**
     * All texts and names together, in characters: a plan of some thousand tenants, and settings of the same size. A
     * router holds two states at once, which is to stay far below its 64 MB for control.
     */
    public static final int MAX_CHARACTERS = 512 * 1024;
    /** Names of documents; an installation has some dozens. */
    static final int MAX_ENTRIES = 256;

    /** Copies, so that nobody changes it later. */
    public VersionedState {
        entries = Collections.unmodifiableSortedMap(new TreeMap<>(entries));
    }

    /** Nothing yet. */
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

    /** The digest that its contents have, whatever it came with. */
    public String computeDigest() {
        return digest(version, entries);
    }

    /** How much of the bound it takes. */
    @JsonIgnore
    public int characterCount() {
        return Proposal.characterCount(entries);
    }

    /** Nothing from outside is believed before this has looked at it. */
    VersionedState validated() throws IOException {
        if (version < 0) {
            throw new IOException("a version below nought");
        }
        Proposal.check(entries);
        return bounded().withDigest(digest(version, entries));
    }

    private VersionedState bounded() throws IOException {
        if (entries.size() > MAX_ENTRIES || characterCount() > MAX_CHARACTERS) {
            throw new IOException(
                    "a state of more than " + MAX_CHARACTERS + " characters or " + MAX_ENTRIES + " entries");
        }
        return this;
    }

    private VersionedState withDigest(String wanted) throws IOException {
        if (!wanted.equals(digest)) {
            throw new IOException("version " + version + " does not have the digest that came with it");
        }
        return this;
    }

    /** The next one, by what a log has written. */
    VersionedState after(Proposal proposal) {
        TreeMap<String, String> next = new TreeMap<>(entries);
        next.putAll(proposal.set());
        next.keySet().removeAll(proposal.remove());
        return of(version + 1, next);
    }

    /**
     * A later one, by changes from outside: those beyond this one have to follow on it without a gap, and come to the
     * digest of the last. Digests between are not looked at: no state is there that has them.
     */
    VersionedState after(List<Change> changes) throws IOException {
        TreeMap<String, String> next = new TreeMap<>(entries);
        long at = version;
        for (Change change : changes) {
            if (change.version() <= version) {
                continue;
            }
            if (change.version() != ++at) {
                throw new IOException("a change to version " + change.version() + " where " + at + " is next");
            }
            Proposal.check(change.set());
            next.putAll(change.set());
            next.keySet().removeAll(change.remove());
        }
        return at == version
                ? this
                : new VersionedState(at, next, digest(at, next))
                        .bounded()
                        .withDigest(changes.get(changes.size() - 1).digest());
    }
}
