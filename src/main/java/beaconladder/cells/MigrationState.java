package beaconladder.cells;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state derived from the recorded steps: the placement of all tenants, the migrations under way and the last ones
 * that have ended. It only applies steps; {@link MigrationTransitions} decides which step is due.
 */
final class MigrationState {
    /** A snapshot is taken once there are this many records. */
    private static final int MIN_RECORDS_PER_SNAPSHOT = 10_000;
    /** The number of ended migrations that are kept for operators. */
    private static final int MAX_ENDED_MIGRATIONS = 1_000;

    private final Map<String, TenantPlacement> placements = new LinkedHashMap<>();
    private final Map<String, Migration> migrations = new LinkedHashMap<>();
    private final List<MigrationStep> endedMigrations = new ArrayList<>();
    private final RouterLeases routerLeases;
    private StaticPlacement staticPlacement;
    private long version;
    private int recordCount;

    MigrationState(StaticPlacement staticPlacement, RouterLeases routerLeases) {
        this.staticPlacement = staticPlacement;
        this.routerLeases = routerLeases;
    }

    void replacePlan(StaticPlacement newPlacement) {
        staticPlacement = newPlacement;
    }

    StaticPlacement staticPlacement() {
        return staticPlacement;
    }

    /** Returns the version of the placement; it grows with each change. */
    long version() {
        return version;
    }

    /** Returns the placements by tenant. */
    Map<String, TenantPlacement> placements() {
        return placements;
    }

    /** Returns the migrations under way by tenant, in the order of their proposals. */
    Map<String, Migration> migrations() {
        return migrations;
    }

    /** Returns the final steps of the last migrations that have ended, oldest first. */
    List<MigrationStep> endedMigrations() {
        return endedMigrations;
    }

    void apply(MigrationStep step) {
        recordCount++;
        switch (step.kind()) {
            case LEASE -> routerLeases.applyLease(step);
            case VERSION -> version = Math.max(version, step.atNanos());
            case ROUTER -> routerLeases.applyRegistration(step);
            case PLACED -> place(step.tenant(), TenantPlacement.settled(step.toCell(), step.floors()));
            case PROPOSED -> {
                int slots = staticPlacement.groupsOf(step.fromCell()).size();
                migrations.put(step.tenant(), new Migration(step, slots));
                applyToMigration(step);
            }
            case COPYING -> applyInOldCell(step, true, true);
            case FENCED -> applyInOldCell(step, false, true);
            case SEALED -> applyInOldCell(step, false, false);
            case SWITCHED -> {
                place(step.tenant(), TenantPlacement.settled(step.toCell(), step.floors()));
                applyToMigration(step);
            }
            case DONE -> end(step);
            case UNDONE -> {
                place(step.tenant(), TenantPlacement.settled(step.fromCell(), floors(step.tenant())));
                end(step);
            }
        }
    }

    private void place(String tenant, TenantPlacement placement) {
        placements.put(tenant, placement);
        version++;
    }

    private List<Long> floors(String tenant) {
        return placements.get(tenant).floors();
    }

    private void applyInOldCell(MigrationStep step, boolean writes, boolean reads) {
        place(step.tenant(), new TenantPlacement(step.fromCell(), writes, reads, true, floors(step.tenant())));
        applyToMigration(step);
    }

    private void applyToMigration(MigrationStep step) {
        migrations.get(step.tenant()).apply(step, version);
    }

    private void end(MigrationStep step) {
        migrations.remove(step.tenant());
        endedMigrations.add(step);
        if (endedMigrations.size() > MAX_ENDED_MIGRATIONS) {
            endedMigrations.remove(0);
        }
    }

    /** See {@link TenantMigrations#snapshot}. */
    List<MigrationStep> snapshot(long nowNanos) {
        if (recordCount < MIN_RECORDS_PER_SNAPSHOT || !migrations.isEmpty()) {
            return null;
        }
        List<MigrationStep> steps = new ArrayList<>(routerLeases.snapshot(nowNanos));
        placements.forEach((tenant, placement) ->
                steps.add(MigrationStep.placed(tenant, placement.cell(), placement.floors(), nowNanos)));
        steps.add(MigrationStep.version(version));
        recordCount = steps.size();
        return steps;
    }
}
