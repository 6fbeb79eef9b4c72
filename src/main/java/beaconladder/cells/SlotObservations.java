package beaconladder.cells;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/** The latest observation of each slot of a migration. */
final class SlotObservations {
    private final MigrationObservation[] bySlot;

    SlotObservations(int slots) {
        bySlot = new MigrationObservation[slots];
        Arrays.fill(bySlot, MigrationObservation.NONE);
    }

    /** Replaces the observation of a slot; one of a slot that the migration does not have is ignored. */
    void record(int slot, MigrationObservation observation) {
        if (slot < bySlot.length) {
            bySlot[slot] = observation;
        }
    }

    boolean all(Predicate<MigrationObservation> condition) {
        return Arrays.stream(bySlot).allMatch(condition);
    }

    boolean hasAllSources() {
        return all(observation -> observation.sourcePrimary() != null);
    }

    boolean hasAllTargets() {
        return all(observation -> observation.targetPrimary() != null);
    }

    /** The primaries of the old groups, by slot; null where there is none. */
    List<String> sourcePrimaries() {
        List<String> sources = new ArrayList<>();
        for (MigrationObservation observation : bySlot) {
            sources.add(observation.sourcePrimary());
        }
        return sources;
    }

    /** Whether an old group has another primary than the one that is copied from. */
    boolean hasOtherSourceThan(List<String> copiedFrom) {
        for (int slot = 0; slot < bySlot.length; slot++) {
            String source = bySlot[slot].sourcePrimary();
            if (source != null && !source.equals(copiedFrom.get(slot))) {
                return true;
            }
        }
        return false;
    }

    /** The log position of the old group's primary in this slot, in nanoseconds. */
    long sourcePosition(int slot) {
        return bySlot[slot].sourcePosition();
    }

    /** The log positions of the new groups' primaries, by slot, in nanoseconds. */
    List<Long> targetPositions() {
        List<Long> positions = new ArrayList<>();
        for (MigrationObservation observation : bySlot) {
            positions.add(observation.targetPosition());
        }
        return positions;
    }

    /** Whether queries sent after this time showed that every ready member of the new groups has the copy this far. */
    boolean hasCopiedUpTo(List<Long> positions, long sinceNanos) {
        for (int slot = 0; slot < bySlot.length; slot++) {
            if (!bySlot[slot].hasCopiedUpTo(positions.get(slot), sinceNanos)) {
                return false;
            }
        }
        return true;
    }

    int slots() {
        return bySlot.length;
    }
}
