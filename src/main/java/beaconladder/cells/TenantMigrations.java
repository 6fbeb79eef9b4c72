package beaconladder.cells;

import beaconladder.cells.MigrationStep.Kind;
import beaconladder.plan.Plan;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The coordinator's state machine: the placement of all tenants, and the steps by which a tenant migrates. It does no
 * I/O and reads no clock: {@link #nextStep} returns the step that is due, the caller stores its record, and
 * {@link #apply} applies it. After a crash, applying the stored records restores the same state. Times are in
 * nanoseconds of Unix time; machines' clocks may differ by {@link CellAdmission#MAX_CLOCK_SKEW_NANOS}. Not thread-safe.
 *
 * <p>Each step of a migration waits until every router has applied the previous step, or may no longer act on an older
 * placement because its lease has expired. In addition, a step requires:
 *
 * <ol>
 *   <li>PROPOSED to COPYING: the old and the new cell have a primary in each slot;
 *   <li>COPYING to FENCED: the lag of the copy is small;
 *   <li>FENCED to SEALED: no write is in flight or may still run, and every ready member of the new groups has copied
 *       the old primaries' logs up to the positions that a later query of those primaries returned;
 *   <li>SEALED to SWITCHED: no router sends reads to the old cell any more, and the new primaries have been queried for
 *       the floor, the position from which on a member has everything that was copied;
 *   <li>SWITCHED to DONE: every router has applied the switch.
 * </ol>
 */
public final class TenantMigrations {
    /**
     * The status of a migration under way, for operators.
     *
     * @param tenant the tenant that migrates
     * @param fromCell the old cell
     * @param toCell the new cell
     * @param state the kind of the last step, in lower case
     * @param stateSinceNanos when that step was decided, in nanoseconds
     * @param waitsFor the condition that the next step waits for
     */
    public record MigrationStatus(
            String tenant, String fromCell, String toCell, String state, long stateSinceNanos, String waitsFor) {}

    private final RouterLeases routerLeases;
    private final MigrationTransitions transitions;
    private final MigrationState state;

    /** Creates the state without any record. The plan must have a coordinator; its time limits are never replaced. */
    public TenantMigrations(StaticPlacement staticPlacement) {
        Plan.Coordinator limits = staticPlacement.plan().coordinator();
        routerLeases = new RouterLeases(limits.leaseNanos(), limits.requestExpiryNanos());
        transitions = new MigrationTransitions(limits, routerLeases);
        state = new MigrationState(staticPlacement, routerLeases);
    }

    /** Replaces the plan; the recorded placements do not change. */
    public void replacePlan(StaticPlacement newPlacement) {
        state.replacePlan(newPlacement);
    }

    /** Must be called once all stored records are applied: routers may still hold leases granted before the restart. */
    public void recoveryCompleted(long nowNanos) {
        routerLeases.recoveryCompleted(nowNanos);
    }

    // ---- Steps --------------------------------------------------------------------------------------------

    /** Returns the next step that is due, or null. The caller must store and apply it before the next call. */
    public MigrationStep nextStep(long nowNanos) {
        MigrationStep lease = routerLeases.nextStep();
        if (lease != null) {
            return lease;
        }
        for (Plan.Tenant tenant : state.staticPlacement().plan().tenants()) {
            if (!state.placements().containsKey(tenant.name()) && !tenant.fixed()) {
                return MigrationStep.placed(tenant.name(), tenant.cell(), List.of(), nowNanos);
            }
        }
        for (Migration migration : state.migrations().values()) {
            MigrationStep step = transitions.nextStep(migration, nowNanos);
            if (step != null) {
                return step;
            }
        }
        return null;
    }

    /** Applies a step whose record is stored. */
    public void apply(MigrationStep step) {
        state.apply(step);
    }

    // ---- Requests from operators --------------------------------------------------------------------------

    /**
     * Returns the step that proposes a migration, to be stored and applied by the caller.
     *
     * @param requester the origin of the request, for the record
     * @throws MigrationRejectedException if the tenant can't be migrated to this cell now
     */
    public MigrationStep propose(String tenant, String toCell, String requester, long nowNanos) {
        String rejection = MigrationEligibility.rejection(state, tenant, toCell);
        if (rejection != null) {
            throw new MigrationRejectedException(rejection);
        }
        String fromCell = state.placements().get(tenant).cell();
        return MigrationStep.of(Kind.PROPOSED, tenant, fromCell, toCell, nowNanos, requester);
    }

    /**
     * Requests that the next step of a migration undoes it.
     *
     * @throws MigrationRejectedException if no migration is under way or the new cell already serves the tenant
     */
    public void requestUndo(String tenant, String requester) {
        Migration migration = state.migrations().get(tenant);
        if (migration == null) {
            throw new MigrationRejectedException(tenant + " is not being moved");
        }
        if (migration.state() == Kind.SWITCHED) {
            throw new MigrationRejectedException(tenant + " has switched to " + migration.toCell
                    + "; to have it back, move it to " + migration.fromCell);
        }
        migration.requestUndo("asked for by " + requester);
    }

    // ---- Reports from routers and hosts -------------------------------------------------------------------

    /**
     * Returns the step to store and apply before this router may be granted a lease, or null if it is registered.
     *
     * @param incarnation an identifier that differs between two runs of the same router
     */
    public MigrationStep registration(String router, String incarnation, long nowNanos) {
        return routerLeases.registration(router, incarnation, nowNanos);
    }

    /**
     * Records the report of a registered router. It may arrive late, twice or out of order.
     *
     * @return whether the report counts; one that is older than another that has arrived does not
     */
    public boolean recordReport(RouterReport report, long nowNanos) {
        return routerLeases.record(report.withVersionUpTo(state.version()), nowNanos);
    }

    /** Grants a registered incarnation of a router a lease on the current placement. */
    public PlacementTable grantLease(String router, String incarnation, long nowNanos) {
        return new PlacementTable(
                state.version(),
                routerLeases.grant(router, incarnation, state.version(), nowNanos),
                state.staticPlacement().fingerprint(),
                state.placements());
    }

    /** Records the state of the hosts of one slot of a migration. */
    public void recordObservation(String tenant, int slot, MigrationObservation observation) {
        Migration migration = state.migrations().get(tenant);
        if (migration != null) {
            migration.observations.record(slot, observation);
        }
    }

    /** Returns the slots whose hosts must be queried for the migrations under way. */
    public List<SlotQuery> slotQueries() {
        List<SlotQuery> queries = new ArrayList<>();
        for (Migration migration : state.migrations().values()) {
            boolean copying = migration.state() == Kind.COPYING || migration.state() == Kind.FENCED;
            queries.addAll(slotQueries(migration.tenant, migration.fromCell, migration.toCell, copying));
        }
        return queries;
    }

    /** Returns the slots of a migration that has ended, whose hosts must be notified. */
    public List<SlotQuery> slotQueries(MigrationStep endStep) {
        return slotQueries(endStep.tenant(), endStep.fromCell(), endStep.toCell(), false);
    }

    private List<SlotQuery> slotQueries(String tenant, String fromCell, String toCell, boolean copying) {
        StaticPlacement cells = state.staticPlacement();
        return SlotQuery.forSlots(tenant, cells.groupsOf(fromCell), cells.groupsOf(toCell), copying);
    }

    // ---- State for operators and for the records ----------------------------------------------------------

    /** Returns the version of the placement; it grows with each change. */
    public long version() {
        return state.version();
    }

    /** Returns the placements by tenant; a view of the current state. */
    public Map<String, TenantPlacement> placements() {
        return state.placements();
    }

    /** Returns the migrations under way and what each of them waits for. */
    public List<MigrationStatus> statuses(long nowNanos) {
        return state.migrations().values().stream()
                .map(migration -> new MigrationStatus(
                        migration.tenant,
                        migration.fromCell,
                        migration.toCell,
                        migration.state().name().toLowerCase(Locale.ROOT),
                        migration.stateSinceNanos(),
                        transitions.waitsFor(migration, nowNanos)))
                .toList();
    }

    /** Returns why the tenant's writes in the old cell count as drained; null if they don't or none is under way. */
    public DrainEvidence drainEvidence(String tenant) {
        Migration migration = state.migrations().get(tenant);
        return migration == null ? null : migration.drainEvidence();
    }

    /** Returns the final steps of the last migrations that have ended, oldest first. */
    public List<MigrationStep> endedMigrations() {
        return List.copyOf(state.endedMigrations());
    }

    /** Returns by router the nanoseconds since its last report; -1 for none since the coordinator started. */
    public Map<String, Long> nanosSinceLastReport(long nowNanos) {
        return routerLeases.nanosSinceLastReport(nowNanos);
    }

    /**
     * Returns steps that rebuild this state, to replace all records; null if there are few records or a migration is
     * under way.
     */
    public List<MigrationStep> snapshot(long nowNanos) {
        return state.snapshot(nowNanos);
    }
}
