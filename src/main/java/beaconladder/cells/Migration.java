package beaconladder.cells;

import beaconladder.cells.MigrationStep.Kind;
import java.util.List;

/**
 * The state of one migration under way. It follows from the recorded steps, except for what is observed between steps
 * (observations, quiet time, fences before SEALED, a requested undo): that is not stored, and after a crash it is
 * observed again.
 */
final class Migration {
    final String tenant;
    final String fromCell;
    final String toCell;
    final long proposedAtNanos;
    final SlotObservations observations;
    private Kind state = Kind.PROPOSED;
    private long stateSinceNanos;
    /** The version of the placement with which the present state began. */
    private long version;

    private long fencedAtNanos;
    /** By slot the primary that is copied from. */
    private List<String> sources = List.of();
    /** By slot the position up to which the old cell's log counts; empty while it is not known. */
    private List<Long> fences = List.of();
    /** Since when no write of the tenant is in flight or may still run in the old cell; Long.MIN_VALUE before. */
    private long writesDrainedSinceNanos = Long.MIN_VALUE;
    /** Why the migration is to be undone, or null. */
    private String undoReason;

    /** A migration that this step proposes, between cells with so many groups each. */
    Migration(MigrationStep proposed, int slots) {
        tenant = proposed.tenant();
        fromCell = proposed.fromCell();
        toCell = proposed.toCell();
        proposedAtNanos = proposed.atNanos();
        observations = new SlotObservations(slots);
    }

    /** Applies a recorded step, which led to this version of the placement. */
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

    /** A step of this migration, without detail. */
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

    void setWritesDrained(long nowNanos) {
        writesDrainedSinceNanos = nowNanos;
    }

    String undoReason() {
        return undoReason;
    }

    void requestUndo(String reason) {
        undoReason = reason;
    }
}
