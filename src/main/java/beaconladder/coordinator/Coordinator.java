package beaconladder.coordinator;

import beaconladder.cells.MigrationObservation;
import beaconladder.cells.MigrationStep;
import beaconladder.cells.MigrationStep.Kind;
import beaconladder.cells.PlacementTable;
import beaconladder.cells.RouterReport;
import beaconladder.cells.SlotQuery;
import beaconladder.cells.StaticPlacement;
import beaconladder.cells.TenantMigrations;
import beaconladder.discovery.EndpointWatch;
import beaconladder.plan.Plan;
import beaconladder.plan.PlanReader;
import beaconladder.storage.DurableRecords;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The coordinator: grants placement leases to routers, carries out migrations step by step, and serves operators.
 * {@link TenantMigrations} makes all decisions; a step is durable before it is applied. This object's monitor guards
 * the migrations and their records; it is notified after every step, for routers that wait for a newer placement.
 */
public final class Coordinator implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Coordinator.class);
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Upper bound on the duration of a router's long poll. */
    private static final int MAX_WAIT_MILLIS = 30_000;

    private final Path planFile;
    private final TenantMigrations migrations;
    private final StepRecorder recorder;
    private final HostQueries hostQueries = new HostQueries();
    private final EndpointWatch endpointWatch;
    private final CoordinatorEndpoint endpoint;
    private final Thread migrationLoop = new Thread(new MigrationLoop(this, hostQueries), "migration-loop");
    private volatile boolean closed;

    /**
     * Recovers the migrations from their records and starts serving.
     *
     * @throws IOException if the plan has no coordinator, its address is in use, or its records are in use or damaged
     */
    public Coordinator(Path planFile, Plan plan) throws IOException {
        this.planFile = planFile;
        if (plan.coordinator() == null) {
            throw new IOException(planFile + " states no keeper");
        }
        migrations = new TenantMigrations(new StaticPlacement(plan));
        recorder = new StepRecorder(
                DurableRecords.open(Path.of(plan.coordinator().recordsDirectory())), migrations, this::notifyAll);
        try {
            recorder.recover(nowNanos());
            endpoint = new CoordinatorEndpoint(plan.coordinator().address());
        } catch (IOException | RuntimeException e) {
            recorder.close();
            throw e instanceof IOException error
                    ? error
                    : new IOException("a stored record can't be read or applied: " + e, e);
        }
        endpointWatch = new EndpointWatch(plan.coordinator().discoveryAddress(), hostQueries);
        endpoint.register("/v1/placement", this::handlePlacement);
        endpoint.register("/v1/cells", parameters -> handleCells());
        endpoint.register("/v1/move", this::handleMove);
        endpoint.register("/v1/undo", this::handleUndo);
        proposeRelocations(plan);
        Thread watchThread = new Thread(endpointWatch, "endpoint-watch");
        watchThread.setDaemon(true);
        watchThread.start();
        migrationLoop.setDaemon(true);
        migrationLoop.start();
        endpoint.start();
        LOG.info("coordinator listening on {}", plan.coordinator().address());
    }

    /** Returns the Unix time in nanoseconds, by this machine's clock. */
    static long nowNanos() {
        Instant now = Instant.now();
        return now.getEpochSecond() * NANOS_PER_SECOND + now.getNano();
    }

    boolean isClosed() {
        return closed;
    }

    /** Reads the plan again. A plan with errors or without a coordinator is logged and changes nothing. */
    public void reload() {
        PlanReader.Result result = PlanReader.read(planFile);
        if (result.plan() == null || result.plan().coordinator() == null) {
            result.errors().forEach(error -> LOG.warn("{}", error));
            LOG.warn("not reloaded, the previous configuration stays in force");
            return;
        }
        synchronized (this) {
            migrations.replacePlan(new StaticPlacement(result.plan()));
        }
        proposeRelocations(result.plan());
        LOG.info("reloaded {}", planFile);
    }

    /** Proposes the migrations that the plan lists; those already carried out or not possible now are logged. */
    private synchronized void proposeRelocations(Plan plan) {
        try {
            recordDueSteps();
            for (Plan.Relocation relocation : plan.relocations()) {
                try {
                    recorder.record(migrations.propose(
                            relocation.tenant(), relocation.targetCell(), planFile.toString(), nowNanos()));
                } catch (IllegalArgumentException e) {
                    LOG.info(
                            "the plan's migration of {} to {} is not proposed: {}",
                            relocation.tenant(),
                            relocation.targetCell(),
                            e.getMessage());
                }
            }
        } catch (IOException e) {
            LOG.error("migrations can't be recorded", e);
        }
    }

    // ---- Steps --------------------------------------------------------------------------------------------

    /**
     * The work of one round of the migration loop.
     *
     * @param queries the slots whose hosts must be queried
     * @param endedCopies the slots whose copying has ended, each with whether the copied data is dropped
     */
    record Round(List<SlotQuery> queries, Map<SlotQuery, Boolean> endedCopies) {}

    /** Records the steps that are due and returns the work for hosts that follows from them. */
    synchronized Round beginRound() throws IOException {
        recordDueSteps();
        List<SlotQuery> queries = migrations.slotQueries();
        Map<SlotQuery, Boolean> endedCopies = new LinkedHashMap<>();
        for (MigrationStep endStep : recorder.takeEnds()) {
            migrations.slotQueries(endStep).forEach(query -> endedCopies.put(query, endStep.kind() == Kind.UNDONE));
        }
        return new Round(queries, endedCopies);
    }

    synchronized void recordObservation(SlotQuery query, MigrationObservation observation) {
        migrations.recordObservation(query.tenant(), query.slot(), observation);
    }

    /** Records and applies all steps that are due. */
    synchronized void recordDueSteps() throws IOException {
        recorder.recordDueSteps(nowNanos());
    }

    // ---- Requests -----------------------------------------------------------------------------------------

    /**
     * Handles a router's long poll: records its report, and returns the placement once it is newer than the router's or
     * the requested wait is over.
     */
    private synchronized String handlePlacement(Map<String, String> parameters)
            throws IOException, InterruptedException {
        RouterReport report = CoordinatorProtocol.parseReport(parameters);
        long waitMillis = Math.min(MAX_WAIT_MILLIS, Long.parseLong(parameters.getOrDefault("wait", "0")));
        registerIfNew(report);
        if (!migrations.recordReport(report, nowNanos())) {
            LOG.info("a report of {} under version {} came late and does not count", report.router(), report.version());
        }
        awaitVersionAfter(report.version(), waitMillis);
        // The report is not recorded again: a newer one may have come meanwhile. The incarnation may have been removed.
        registerIfNew(report);
        PlacementTable placement = migrations.grantLease(report.router(), report.incarnation(), nowNanos());
        return CoordinatorProtocol.toJson(placement, placement.version() != report.version());
    }

    private void registerIfNew(RouterReport report) throws IOException {
        MigrationStep registration = migrations.registration(report.router(), report.incarnation(), nowNanos());
        if (registration != null) {
            recorder.record(registration);
        }
    }

    private void awaitVersionAfter(long version, long waitMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + waitMillis * NANOS_PER_MILLI;
        while (!closed && migrations.version() <= version && System.nanoTime() < deadlineNanos) {
            wait(Math.max(1, (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI));
        }
    }

    private synchronized String handleCells() {
        return CoordinatorProtocol.toJson(CoordinatorProtocol.cellsStatus(migrations, nowNanos()));
    }

    private synchronized String handleMove(Map<String, String> parameters) throws IOException {
        recorder.record(migrations.propose(
                CoordinatorEndpoint.requiredName(parameters, "tenant"),
                CoordinatorEndpoint.requiredName(parameters, "to"),
                "an operator",
                nowNanos()));
        return CoordinatorProtocol.toJson(CoordinatorProtocol.newObject().put("proposed", parameters.get("tenant")));
    }

    private synchronized String handleUndo(Map<String, String> parameters) throws IOException {
        migrations.requestUndo(CoordinatorEndpoint.requiredName(parameters, "tenant"), "an operator");
        recordDueSteps();
        return CoordinatorProtocol.toJson(CoordinatorProtocol.newObject().put("undone", parameters.get("tenant")));
    }

    /** Stops serving and closes the records; migrations under way continue after the next start. */
    @Override
    public void close() {
        closed = true;
        endpoint.stop();
        migrationLoop.interrupt();
        endpointWatch.stop();
        hostQueries.close();
        endpoint.close();
        recorder.close();
    }
}
