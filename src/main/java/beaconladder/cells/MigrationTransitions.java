package beaconladder.cells;

import beaconladder.cells.MigrationStep.Kind;
import beaconladder.plan.Plan;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides when a migration takes its next step, and which. A step waits until every router has applied the step before,
 * or can't act on an older placement any more because its lease is over; see {@link TenantMigrations} for the order.
 */
final class MigrationTransitions {
    /** How far the copy may lag when the write fence begins: writes wait for the rest, a tenth of the shortest SLA. */
    private static final long MAX_LAG_BEFORE_FENCE_NANOS = 100_000_000L;

    private final RouterLeases routers;
    private final long maxCopyNanos;
    private final long maxFenceNanos;

    MigrationTransitions(Plan.Coordinator limits, RouterLeases routers) {
        this.routers = routers;
        maxCopyNanos = limits.maxCopyNanos();
        maxFenceNanos = limits.maxFenceNanos();
    }

    /** The step that is due, or null. */
    MigrationStep nextStep(Migration migration, long now) {
        if (migration.undoReason() != null && migration.isBefore(Kind.SWITCHED)) {
            return migration.undone(migration.undoReason(), now);
        }
        return switch (migration.state()) {
            case PROPOSED -> afterProposed(migration, now);
            case COPYING -> afterCopying(migration, now);
            case FENCED -> afterFenced(migration, now);
            case SEALED -> afterSealed(migration, now);
            case SWITCHED -> routers.isInForce(migration.version(), now) ? migration.step(Kind.DONE, now) : null;
            default -> null;
        };
    }

    private MigrationStep afterProposed(Migration migration, long now) {
        if (migration.observations.all(MigrationObservation::hasBothPrimaries)) {
            return copying(migration, now);
        }
        return isCopyOverdue(migration, now) ? migration.undone("a primary was not found in time", now) : null;
    }

    private boolean isCopyOverdue(Migration migration, long now) {
        return now > migration.proposedAtNanos + maxCopyNanos;
    }

    private static MigrationStep copying(Migration migration, long now) {
        return migration.step(Kind.COPYING, now).withSources(migration.observations.sourcePrimaries());
    }

    private MigrationStep afterCopying(Migration migration, long now) {
        if (isCopyOverdue(migration, now)) {
            return migration.undone("the copy was not close enough in time", now);
        }
        if (migration.hasOtherSource()) {
            // The new primary's log may lack the end of the old one's: what was copied may not be a part of it.
            return migration.observations.hasAllSources() ? copying(migration, now) : null;
        }
        return migration.observations.all(observation -> isCopyClose(observation, migration))
                        && routers.isInForce(migration.version(), now)
                ? migration.step(Kind.FENCED, now)
                : null;
    }

    private static boolean isCopyClose(MigrationObservation observation, Migration migration) {
        return observation.queriedAtNanos() >= migration.stateSinceNanos()
                && observation.hasBothPrimaries()
                && observation.copiedByAll() != Long.MIN_VALUE
                && observation.copiedByAll() >= observation.sourcePosition() - MAX_LAG_BEFORE_FENCE_NANOS;
    }

    private MigrationStep afterFenced(Migration migration, long now) {
        if (isFenceOverdue(migration, now)) {
            return undoneByFence(migration, now);
        }
        if (!migration.isQuiet() && routers.areWritesQuiet(migration.tenant, migration.version(), now)) {
            migration.becomeQuiet(now);
        }
        if (migration.hasOtherSource()) {
            // It may lack committed writes that the copy must have, or the copy may have writes that it lacks.
            return migration.undone("a primary of " + migration.fromCell + " changed in the fence", now);
        }
        if (!migration.isQuiet()) {
            return null;
        }
        if (migration.fences().isEmpty()) {
            // A position that was queried before the quiet time may lack the last writes.
            if (!migration.observations.all(observation -> observation.queriedAtNanos() > migration.quietSinceNanos()
                    && observation.sourcePrimary() != null)) {
                return null;
            }
            migration.setFences(lastPositions(migration));
        }
        return migration.observations.hasCopiedUpTo(migration.fences(), migration.quietSinceNanos())
                ? migration.step(Kind.SEALED, now).withFences(migration.fences())
                : null;
    }

    private boolean isFenceOverdue(Migration migration, long now) {
        return now > migration.fencedAtNanos() + maxFenceNanos;
    }

    private MigrationStep undoneByFence(Migration migration, long now) {
        return migration.undone("the fence had to go: " + waitsFor(migration, now), now);
    }

    /** By slot the position of the last write in the old cell, as the primaries and the routers know it. */
    private List<Long> lastPositions(Migration migration) {
        List<Long> positions = new ArrayList<>();
        for (int slot = 0; slot < migration.observations.slots(); slot++) {
            positions.add(Math.max(
                    migration.observations.sourcePosition(slot), routers.newestCommit(migration.tenant, slot)));
        }
        return positions;
    }

    private MigrationStep afterSealed(Migration migration, long now) {
        if (isFenceOverdue(migration, now)) {
            return undoneByFence(migration, now);
        }
        if (!routers.isInForce(migration.version(), now)
                || !migration.observations.hasCopiedUpTo(migration.fences(), migration.stateSinceNanos())) {
            return null;
        }
        return migration
                .step(Kind.SWITCHED, now)
                .withFences(migration.fences())
                .withFloors(migration.observations.targetPositions());
    }

    /** What the migration waits for, for an operator. */
    String waitsFor(Migration migration, long now) {
        List<String> late = routers.routersOnOlderVersion(migration.version(), now);
        if (!late.isEmpty()) {
            return "word from " + String.join(", ", late);
        }
        if (migration.state() == Kind.FENCED && !migration.isQuiet()) {
            return "writes in hand";
        }
        if (!migration.observations.hasAllSources()
                && migration.isBefore(Kind.SEALED)
                && migration.fences().isEmpty()) {
            return "a primary of " + migration.fromCell;
        }
        return migration.observations.hasAllTargets() ? "the copy" : "a primary of " + migration.toCell;
    }
}
