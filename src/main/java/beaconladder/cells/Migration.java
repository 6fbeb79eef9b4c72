package beaconladder.cells;

import beaconladder.cells.MigrationStep.Kind;
import java.util.List;

/**
 * The state of one migration under way. It is derived from the recorded steps, except for what is observed between
 * steps (observations, the end of the writes, fences before SEALED, a requested undo): that is not stored. After a
 * crash it is observed again; an undo has to be requested again.
 */
final class Migration {
    final String tenant;
    final String fromCell;
    final String toCell;
    final long proposedAtNanos;
    final SlotObservations observations;
    private Kind state = Kind.PROPOSED;
    private long stateSinceNanos;
    /** The version of the placement with which the current state began. */
    private long version;

    private long fencedAtNanos;
    /** By slot, the primary that is copied from. */
    private List<String> sources = List.of();
    /** By slot, the position in the old cell's log up to which writes must be copied; empty while unknown. */
    private List<Long> fences = List.of();
    /** Since when no write of the tenant is in flight or may still run in the old cell; Long.MIN_VALUE if not yet. */
    private long writesDrainedSinceNanos = Long.MIN_VALUE;
    /** The grounds for that, or null. */
    private DrainEvidence drainEvidence;
    /** The reason of a requested undo, or null. */
    private String undoReason;

    /** Creates the migration that this step proposes, between cells with this number of slots. */
    Migration(MigrationStep proposed, int slots) {
        tenant = proposed.tenant();
        fromCell = proposed.fromCell();
        toCell = proposed.toCell();
        proposedAtNanos = proposed.atNanos();
        observations = new SlotObservations(slots);
    }

    /** Applies a recorded step, which resulted in this version of the placement. */
    void apply(MigrationStep step, long placementVersion) {
        switch (step.kind()) {
            case COPYING -> sources = step.sources();
            case FENCED -> fencedAtNanos = step.atNanos();
            case SEALED -> fences = step.fences();
            default -> {}
        }
        state = step.kind();
        stateSinceNanos = step.atNanos();
        version = placementVersion;
    }

    /** Returns a step of this migration without detail. */
    MigrationStep step(Kind kind, long nowNanos) {
        return MigrationStep.of(kind, tenant, fromCell, toCell, nowNanos, null);
    }

    MigrationStep undoStep(String reason, long nowNanos) {
        return MigrationStep.of(Kind.UNDONE, tenant, fromCell, toCell, nowNanos, reason);
    }

    Kind state() {
        return state;
    }

    boolean isBefore(Kind later) {
        return state.compareTo(later) < 0;
    }

    long stateSinceNanos() {
        return stateSinceNanos;
    }

    long version() {
        return version;
    }

    long fencedAtNanos() {
        return fencedAtNanos;
    }

    List<String> sources() {
        return sources;
    }

    boolean hasSourceChanged() {
        return observations.hasSourceChangedFrom(sources);
    }

    List<Long> fences() {
        return fences;
    }

    void setFences(List<Long> positions) {
        fences = List.copyOf(positions);
    }

    boolean areWritesDrained() {
        return writesDrainedSinceNanos != Long.MIN_VALUE;
    }

    long writesDrainedSinceNanos() {
        return writesDrainedSinceNanos;
    }

    void setWritesDrained(long nowNanos, DrainEvidence evidence) {
        writesDrainedSinceNanos = nowNanos;
        drainEvidence = evidence;
    }

    DrainEvidence drainEvidence() {
        return drainEvidence;
    }

    String undoReason() {
        return undoReason;
    }

    void requestUndo(String reason) {
        undoReason = reason;
    }
}
