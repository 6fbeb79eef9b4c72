package beaconladder.cells;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/** The latest observation of each slot of a migration. */
final class SlotObservations {
    private final MigrationObservation[] observations;

    SlotObservations(int slots) {
        observations = new MigrationObservation[slots];
        Arrays.fill(observations, MigrationObservation.NONE);
    }

    /** Replaces the observation of a slot; a slot that the migration does not have is ignored. */
    void record(int slot, MigrationObservation observation) {
        if (slot < observations.length) {
            observations[slot] = observation;
        }
    }

    boolean allMatch(Predicate<MigrationObservation> condition) {
        return Arrays.stream(observations).allMatch(condition);
    }

    boolean hasAllSources() {
        return allMatch(observation -> observation.sourcePrimary() != null);
    }

    boolean hasAllTargets() {
        return allMatch(observation -> observation.targetPrimary() != null);
    }

    /** Returns the primaries of the old groups by slot; null where there is none. */
    List<String> sourcePrimaries() {
        List<String> sources = new ArrayList<>();
        for (MigrationObservation observation : observations) {
            sources.add(observation.sourcePrimary());
        }
        return sources;
    }

    /** Returns whether the primary of an old group is another one than expected; an unknown primary does not count. */
    boolean hasSourceChangedFrom(List<String> expectedSources) {
        for (int slot = 0; slot < observations.length; slot++) {
            String source = observations[slot].sourcePrimary();
            if (source != null && !source.equals(expectedSources.get(slot))) {
                return true;
            }
        }
        return false;
    }

    /** Returns the log position of the old group's primary in this slot, in nanoseconds. */
    long sourcePosition(int slot) {
        return observations[slot].sourcePosition();
    }

    /** Returns the log positions of the new groups' primaries by slot, in nanoseconds. */
    List<Long> targetPositions() {
        List<Long> positions = new ArrayList<>();
        for (MigrationObservation observation : observations) {
            positions.add(observation.targetPosition());
        }
        return positions;
    }

    /** Returns whether queries sent after this time showed that all ready members have copied up to these positions. */
    boolean hasCopiedUpTo(List<Long> positions, long sinceNanos) {
        for (int slot = 0; slot < observations.length; slot++) {
            if (!observations[slot].hasCopiedUpTo(positions.get(slot), sinceNanos)) {
                return false;
            }
        }
        return true;
    }

    int slots() {
        return observations.length;
    }
}
