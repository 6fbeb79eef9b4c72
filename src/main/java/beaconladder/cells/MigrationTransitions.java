package beaconladder.cells;

import beaconladder.cells.MigrationStep.Kind;
import beaconladder.plan.Plan;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which step of a migration is due. A step waits until every router has applied the previous one, or may no
 * longer act on an older placement because its lease has expired; see {@link TenantMigrations} for the order.
 */
final class MigrationTransitions {
    /** Upper bound on the lag of the copy when the fence begins, as writes wait for it: a tenth of the shortest SLA. */
    private static final long MAX_LAG_BEFORE_FENCE_NANOS = 100_000_000L;

    private final RouterLeases routerLeases;
    private final long maxCopyNanos;
    private final long maxFenceNanos;

    MigrationTransitions(Plan.Coordinator limits, RouterLeases routerLeases) {
        this.routerLeases = routerLeases;
        maxCopyNanos = limits.maxCopyNanos();
        maxFenceNanos = limits.maxFenceNanos();
    }

    /** Returns the step that is due, or null. */
    MigrationStep nextStep(Migration migration, long nowNanos) {
        if (migration.undoReason() != null && migration.isBefore(Kind.SWITCHED)) {
            return migration.undoStep(migration.undoReason(), nowNanos);
        }
        return switch (migration.state()) {
            case PROPOSED -> afterProposed(migration, nowNanos);
            case COPYING -> afterCopying(migration, nowNanos);
            case FENCED -> afterFenced(migration, nowNanos);
            case SEALED -> afterSealed(migration, nowNanos);
            case SWITCHED ->
                routerLeases.isInForce(migration.version(), nowNanos) ? migration.step(Kind.DONE, nowNanos) : null;
            default -> null;
        };
    }

    private MigrationStep afterProposed(Migration migration, long nowNanos) {
        if (migration.observations.allMatch(MigrationObservation::hasBothPrimaries)) {
            return copyingStep(migration, nowNanos);
        }
        return isCopyOverdue(migration, nowNanos)
                ? migration.undoStep("a primary was not found in time", nowNanos)
                : null;
    }

    private boolean isCopyOverdue(Migration migration, long nowNanos) {
        return nowNanos > migration.proposedAtNanos + maxCopyNanos;
    }

    private static MigrationStep copyingStep(Migration migration, long nowNanos) {
        return migration.step(Kind.COPYING, nowNanos).withSources(migration.observations.sourcePrimaries());
    }

    private MigrationStep afterCopying(Migration migration, long nowNanos) {
        if (isCopyOverdue(migration, nowNanos)) {
            return migration.undoStep("the copy was not close enough in time", nowNanos);
        }
        if (migration.hasSourceChanged()) {
            // The new primary's log may lack the end of the previous one's, so copied writes may be missing in it.
            return migration.observations.hasAllSources() ? copyingStep(migration, nowNanos) : null;
        }
        return migration.observations.allMatch(observation -> isCopyClose(observation, migration))
                        && routerLeases.isInForce(migration.version(), nowNanos)
                ? migration.step(Kind.FENCED, nowNanos)
                : null;
    }

    private static boolean isCopyClose(MigrationObservation observation, Migration migration) {
        return observation.queriedAtNanos() >= migration.stateSinceNanos()
                && observation.hasBothPrimaries()
                && observation.copiedByAll() != Long.MIN_VALUE
                && observation.copiedByAll() >= observation.sourcePosition() - MAX_LAG_BEFORE_FENCE_NANOS;
    }

    private MigrationStep afterFenced(Migration migration, long nowNanos) {
        if (isFenceOverdue(migration, nowNanos)) {
            return undoOverdueFence(migration, nowNanos);
        }
        if (!migration.areWritesDrained()
                && routerLeases.areWritesDrained(migration.tenant, migration.version(), nowNanos)) {
            migration.setWritesDrained(nowNanos, routerLeases.drainEvidence(migration.tenant, migration.version()));
        }
        if (migration.hasSourceChanged()) {
            // The new primary may lack writes that were committed, or writes that were already copied.
            return migration.undoStep("a primary of " + migration.fromCell + " changed in the fence", nowNanos);
        }
        if (!migration.areWritesDrained()) {
            return null;
        }
        if (migration.fences().isEmpty()) {
            // A position queried before the writes had drained may miss the last of them.
            if (!migration.observations.allMatch(
                    observation -> observation.queriedAtNanos() > migration.writesDrainedSinceNanos()
                            && observation.sourcePrimary() != null)) {
                return null;
            }
            migration.setFences(lastPositions(migration));
        }
        return migration.observations.hasCopiedUpTo(migration.fences(), migration.writesDrainedSinceNanos())
                ? migration.step(Kind.SEALED, nowNanos).withFences(migration.fences())
                : null;
    }

    private boolean isFenceOverdue(Migration migration, long nowNanos) {
        return nowNanos > migration.fencedAtNanos() + maxFenceNanos;
    }

    private MigrationStep undoOverdueFence(Migration migration, long nowNanos) {
        return migration.undoStep("the fence had to go: " + waitsFor(migration, nowNanos), nowNanos);
    }

    /** Returns by slot the newest position in the old cell that its primary or a router has reported. */
    private List<Long> lastPositions(Migration migration) {
        List<Long> positions = new ArrayList<>();
        for (int slot = 0; slot < migration.observations.slots(); slot++) {
            positions.add(Math.max(
                    migration.observations.sourcePosition(slot), routerLeases.newestCommit(migration.tenant, slot)));
        }
        return positions;
    }

    private MigrationStep afterSealed(Migration migration, long nowNanos) {
        if (isFenceOverdue(migration, nowNanos)) {
            return undoOverdueFence(migration, nowNanos);
        }
        if (!routerLeases.isInForce(migration.version(), nowNanos)
                || !migration.observations.hasCopiedUpTo(migration.fences(), migration.stateSinceNanos())) {
            return null;
        }
        return migration
                .step(Kind.SWITCHED, nowNanos)
                .withFences(migration.fences())
                .withFloors(migration.observations.targetPositions());
    }

    /** Returns what the migration waits for, for an operator; the text is also stored as the reason of an undo. */
    String waitsFor(Migration migration, long nowNanos) {
        List<String> lateRouters = routerLeases.routersOnOlderVersion(migration.version(), nowNanos);
        if (!lateRouters.isEmpty()) {
            return "word from " + String.join(", ", lateRouters);
        }
        if (migration.state() == Kind.FENCED && !migration.areWritesDrained()) {
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
