package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The newest state and how it came about, as far as it is worth keeping: what a log's replicas apply alike, and what a
 * relay holds.
 *
 * @param changes the last ones, oldest first, the last of them leading to the newest state
 */
public record VersionHistory(
        @JsonProperty(required = true) VersionedState newest,
        @JsonProperty(required = true) List<Change> changes) {
    /** At 8,700 changes a day this is most of an hour; who has been away for longer gets the base. */
    static final int MAX_CHANGES = 256;

    /** A history after a proposal, and what became of that. */
    public record Transition(VersionHistory history, CommitResult result) {}

    /** Copies, so that nobody changes it later. */
    public VersionHistory {
        changes = List.copyOf(changes);
    }

    /** Nothing yet. */
    public static VersionHistory empty() {
        return of(VersionedState.empty());
    }

    /** One that knows of no version before. */
    static VersionHistory of(VersionedState state) {
        return new VersionHistory(state, List.of());
    }

    /** The history with this proposal applied; all replicas come to the same. */
    public Transition apply(Proposal proposal) {
        if (proposal.baseVersion() != newest.version()) {
            boolean again = changes.stream()
                    .anyMatch(each -> each.version() == proposal.baseVersion() + 1
                            && each.set().equals(proposal.set())
                            && each.remove().equals(proposal.remove()));
            return applied(this, again ? CommitResult.Outcome.COMMITTED : CommitResult.Outcome.VERSION_CONFLICT);
        }
        VersionedState next = newest.after(proposal);
        if (next.characterCount() > VersionedState.MAX_CHARACTERS
                || next.entries().size() > VersionedState.MAX_ENTRIES) {
            return applied(this, CommitResult.Outcome.TOO_LARGE);
        }
        return applied(
                with(next, List.of(new Change(next.version(), proposal.set(), proposal.remove(), next.digest()))),
                CommitResult.Outcome.COMMITTED);
    }

    private static Transition applied(VersionHistory next, CommitResult.Outcome outcome) {
        return new Transition(next, new CommitResult(outcome, next.newest.version(), next.newest.digest()));
    }

    /** Changes are kept up to a count, and while all of them take no more than a state may. */
    private VersionHistory with(VersionedState next, List<Change> more) {
        List<Change> all = new ArrayList<>(changes);
        all.addAll(more);
        int size = all.stream().mapToInt(Change::characterCount).sum();
        while (all.size() > MAX_CHANGES || size > VersionedState.MAX_CHARACTERS) {
            size -= all.remove(0).characterCount();
        }
        return new VersionHistory(next, all);
    }

    /** What one that holds this version lacks: nothing, the changes since, or the base where that is less. */
    public Update updateSince(long version, boolean whole) {
        if (version >= newest.version()) {
            return new Update(newest.version(), newest.digest(), 0, null, List.of());
        }
        int from = changes.size() - (int) Math.min(Integer.MAX_VALUE, newest.version() - version);
        List<Change> missed = whole || from < 0 ? List.of() : changes.subList(from, changes.size());
        boolean base = missed.isEmpty()
                || missed.stream().mapToInt(Change::characterCount).sum() > newest.characterCount();
        return new Update(newest.version(), newest.digest(), 0, base ? newest : null, base ? List.of() : missed);
    }

    /**
     * The history with what was told, looked at whole.
     *
     * @return this one where nothing newer was told
     * @throws IOException where it does not fit, and nothing of it counts
     */
    VersionHistory merge(Update told) throws IOException {
        if (told.base() != null) {
            VersionedState base = told.base().validated();
            return base.version() > newest.version() ? of(base) : this;
        }
        List<Change> more = told.changes().stream()
                .filter(each -> each.version() > newest.version())
                .toList();
        return more.isEmpty() ? this : with(newest.after(more), more);
    }

    /** Nothing that was read back is believed before this has looked at it. */
    public VersionHistory validated() throws IOException {
        newest.validated();
        long version = newest.version() - changes.size();
        for (Change each : changes) {
            if (each.version() != ++version) {
                throw new IOException("changes out of turn at version " + each.version());
            }
        }
        if (!changes.isEmpty() && !changes.get(changes.size() - 1).digest().equals(newest.digest())) {
            throw new IOException("the last change does not lead to the newest state");
        }
        return this;
    }
}
