package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;

/**
 * The newest state and the most recent changes that led to it. It is the replicated state of the log, and the state
 * that a relay holds. Immutable.
 *
 * @param newest the newest state
 * @param changes the most recent changes, oldest first; the last of them leads to the newest state
 */
public record VersionHistory(
        @JsonProperty(required = true) VersionedState newest,
        @JsonProperty(required = true) List<Change> changes) {
    /**
     * The limit of the changes: most of an hour at 8,700 a day. A client that was away for longer gets the full state.
     */
    static final int MAX_CHANGES = 256;

    /**
     * The outcome of applying a proposal.
     *
     * @param history the history after the proposal; unchanged if the proposal was not committed
     * @param result the response to the proposer
     */
    public record Transition(VersionHistory history, CommitResult result) {}

    /** Copies the list so that the history is immutable. */
    public VersionHistory {
        changes = List.copyOf(changes);
    }

    /** Returns the history before the first version. */
    public static VersionHistory empty() {
        return of(VersionedState.empty());
    }

    /** Creates a history without changes. */
    static VersionHistory of(VersionedState state) {
        return new VersionHistory(state, List.of());
    }

    /** Applies a proposal; deterministic, so that all replicas reach the same history. */
    public Transition apply(Proposal proposal) {
        if (proposal.baseVersion() != newest.version()) {
            return unchanged(
                    isCommitted(proposal) ? CommitResult.Outcome.COMMITTED : CommitResult.Outcome.VERSION_CONFLICT);
        }
        VersionedState next = newest.apply(proposal);
        if (!next.isWithinBounds()) {
            return unchanged(CommitResult.Outcome.TOO_LARGE);
        }
        Change change = new Change(next.version(), proposal.set(), proposal.remove(), next.digest());
        VersionHistory history = append(next, List.of(change));
        return new Transition(history, history.result(CommitResult.Outcome.COMMITTED));
    }

    /** Returns whether the change of a retried proposal is already committed. */
    private boolean isCommitted(Proposal proposal) {
        return changes.stream()
                .anyMatch(change -> change.version() == proposal.baseVersion() + 1
                        && change.set().equals(proposal.set())
                        && change.remove().equals(proposal.remove()));
    }

    private Transition unchanged(CommitResult.Outcome outcome) {
        return new Transition(this, result(outcome));
    }

    private CommitResult result(CommitResult.Outcome outcome) {
        return new CommitResult(outcome, newest.version(), newest.digest());
    }

    /** Appends changes, and drops the oldest ones while their number or their total size exceeds its limit. */
    private VersionHistory append(VersionedState next, List<Change> added) {
        List<Change> allChanges = new ArrayList<>(changes);
        allChanges.addAll(added);
        int characters = allChanges.stream().mapToInt(Change::characterCount).sum();
        while (allChanges.size() > MAX_CHANGES || characters > VersionedState.MAX_CHARACTERS) {
            characters -= allChanges.remove(0).characterCount();
        }
        return new VersionHistory(next, allChanges);
    }

    /**
     * Returns the update for a client: nothing new, the changes since its version, or the full state if that is smaller
     * or the changes are no longer held.
     *
     * @param version the version that the client holds
     * @param fullState whether the client requests the full state instead of changes
     */
    public Update updateSince(long version, boolean fullState) {
        if (version >= newest.version()) {
            return Update.none(newest);
        }
        int firstIndex = changes.size() - (int) Math.min(Integer.MAX_VALUE, newest.version() - version);
        if (fullState || firstIndex < 0) {
            return Update.full(newest);
        }
        List<Change> missed = changes.subList(firstIndex, changes.size());
        int characters = missed.stream().mapToInt(Change::characterCount).sum();
        return characters > newest.characterCount() ? Update.full(newest) : Update.incremental(newest, missed);
    }

    /**
     * Merges an update that was received, after checking it.
     *
     * @return the history after the update; this history if the update has nothing newer
     * @throws InvalidStateException if the update violates an invariant; nothing of it is merged then
     */
    VersionHistory merge(Update update) throws InvalidStateException {
        if (update.base() != null) {
            VersionedState base = update.base().validated();
            return base.version() > newest.version() ? of(base) : this;
        }
        List<Change> newer = update.changes().stream()
                .filter(change -> change.version() > newest.version())
                .toList();
        return newer.isEmpty() ? this : append(newest.apply(newer), newer);
    }

    /**
     * Returns this history after checking all invariants, for a snapshot that is restored.
     *
     * @throws InvalidStateException if a version is missing, a digest is invalid, or a limit is exceeded
     */
    public VersionHistory validated() throws InvalidStateException {
        newest.validated();
        long version = newest.version() - changes.size();
        for (Change change : changes) {
            if (change.version() != ++version) {
                throw new InvalidStateException("changes out of turn at version " + change.version());
            }
        }
        if (!changes.isEmpty() && !changes.get(changes.size() - 1).digest().equals(newest.digest())) {
            throw new InvalidStateException("the last change does not lead to the newest state");
        }
        return this;
    }
}
