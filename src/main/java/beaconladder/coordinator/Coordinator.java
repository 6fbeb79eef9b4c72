package beaconladder.coordinator;

import beaconladder.cells.MigrationObservation;
import beaconladder.cells.MigrationStep;
import beaconladder.cells.MigrationStep.Kind;
import beaconladder.cells.PlacementTable;
import beaconladder.cells.SlotQuery;
import beaconladder.cells.StaticPlacement;
import beaconladder.cells.TenantMigrations;
import beaconladder.cells.WriteActivity;
import beaconladder.discovery.EndpointWatch;
import beaconladder.plan.Plan;
import beaconladder.plan.PlanReader;
import beaconladder.storage.DurableRecords;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Grants placement leases to routers, carries out migrations step by step, and serves operators. All decisions are
 * {@link TenantMigrations}'; a step is durable before it is applied. This object's monitor guards the migrations and
 * their records; it is notified after every step, for routers that wait for a newer placement.
 */
public final class Coordinator implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Coordinator.class);
    /** Upper bound on a router's long poll. */
    private static final int MAX_WAIT_MILLIS = 30_000;

    private final Path planFile;
    private final DurableRecords records;
    private final TenantMigrations migrations;
    private final HostQueries hosts = new HostQueries();
    private final EndpointWatch watch;
    private final CoordinatorEndpoint endpoint;
    private final Thread loop = new Thread(new MigrationLoop(this, hosts), "moves");
    /** Final steps of migrations whose hosts have not been notified yet. */
    private final List<MigrationStep> unnotifiedEnds = new ArrayList<>();

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
        records = DurableRecords.open(Path.of(plan.coordinator().recordsDirectory()));
        migrations = new TenantMigrations(new StaticPlacement(plan));
        try {
            for (byte[] record : records.recovered()) {
                migrations.apply(CoordinatorProtocol.fromJson(record, MigrationStep.class));
            }
            migrations.recoveryCompleted(nowNanos());
            endpoint = new CoordinatorEndpoint(plan.coordinator().address());
        } catch (IOException | RuntimeException e) {
            records.close();
            throw e instanceof IOException error ? error : new IOException("a record makes no sense: " + e, e);
        }
        LOG.info(
                "{} records, {} moves under way",
                records.recovered().size(),
                migrations.statuses(nowNanos()).size());
        watch = new EndpointWatch(plan.coordinator().discoveryAddress(), hosts);
        endpoint.register("/v1/placement", this::placement);
        endpoint.register("/v1/cells", parameters -> cells());
        endpoint.register("/v1/move", this::move);
        endpoint.register("/v1/undo", this::undo);
        propose(plan);
        Thread watcher = new Thread(watch, "watch");
        watcher.setDaemon(true);
        watcher.start();
        loop.setDaemon(true);
        loop.start();
        endpoint.start();
        LOG.info("the keeper answers at {}", plan.coordinator().address());
    }

    /** Unix time in nanoseconds, of the clock that all machines read. */
    static long nowNanos() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000L + now.getNano();
    }

    boolean isClosed() {
        return closed;
    }

    /** Reads the plan again; a plan with errors is logged and leaves everything unchanged. */
    public void reload() {
        PlanReader.Result read = PlanReader.read(planFile);
        if (read.plan() == null || read.plan().coordinator() == null) {
            read.errors().forEach(error -> LOG.warn("{}", error));
            LOG.warn("not reloaded, all stays as it was");
            return;
        }
        synchronized (this) {
            migrations.replacePlan(new StaticPlacement(read.plan()));
        }
        propose(read.plan());
        LOG.info("reloaded {}", planFile);
    }

    /** Proposes the plan's relocations; those already carried out or not possible now are logged. */
    private synchronized void propose(Plan plan) {
        try {
            recordDueSteps();
            for (Plan.Relocation relocation : plan.relocations()) {
                try {
                    recordStep(migrations.propose(
                            relocation.tenant(), relocation.targetCell(), planFile.toString(), nowNanos()));
                } catch (IllegalArgumentException e) {
                    LOG.info(
                            "the plan's move of {} to {}: {}",
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
     * What one round of the loop has to do.
     *
     * @param queries the slots whose hosts are to be queried
     * @param endedCopies slots whose copying has ended, each with whether the copy is dropped
     */
    record Round(List<SlotQuery> queries, Map<SlotQuery, Boolean> endedCopies) {}

    /** Records the steps that are due and returns the host queries that follow from them. */
    synchronized Round beginRound() throws IOException {
        recordDueSteps();
        List<SlotQuery> queries = migrations.slotQueries();
        Map<SlotQuery, Boolean> endedCopies = new LinkedHashMap<>();
        for (MigrationStep end : unnotifiedEnds) {
            migrations.slotQueries(end).forEach(query -> endedCopies.put(query, end.kind() == Kind.UNDONE));
        }
        unnotifiedEnds.clear();
        return new Round(queries, endedCopies);
    }

    synchronized void recordObservation(SlotQuery query, MigrationObservation observation) {
        migrations.recordObservation(query.tenant(), query.slot(), observation);
    }

    /** Records and applies all steps that are due, and replaces the records by a snapshot when one is due. */
    synchronized void recordDueSteps() throws IOException {
        long nowNanos = nowNanos();
        for (MigrationStep step = migrations.nextStep(nowNanos); step != null; step = migrations.nextStep(nowNanos)) {
            recordStep(step);
        }
        List<MigrationStep> snapshot = migrations.snapshot(nowNanos);
        if (snapshot != null) {
            records.replace(snapshot.stream().map(Coordinator::bytes).toList());
        }
    }

    private void recordStep(MigrationStep step) throws IOException {
        records.append(bytes(step));
        migrations.apply(step);
        if (step.kind() == Kind.DONE || step.kind() == Kind.UNDONE) {
            unnotifiedEnds.add(step);
        }
        if (step.kind() != Kind.LEASE && step.kind() != Kind.PLACED) {
            LOG.info(
                    "{} {}{}{}",
                    step.kind().name().toLowerCase(Locale.ROOT),
                    step.tenant(),
                    step.toCell() == null ? "" : " from " + step.fromCell() + " to " + step.toCell(),
                    step.detail() == null ? "" : ": " + step.detail());
        }
        notifyAll();
    }

    private static byte[] bytes(MigrationStep step) {
        return CoordinatorProtocol.toJson(step).getBytes(StandardCharsets.UTF_8);
    }

    // ---- Requests -----------------------------------------------------------------------------------------

    /**
     * A router's long poll: reports its writes and returns the placement once newer than its own, or after its wait.
     */
    private synchronized String placement(Map<String, String> parameters) throws IOException, InterruptedException {
        String router = CoordinatorEndpoint.requiredName(parameters, "router");
        String run = CoordinatorEndpoint.requiredName(parameters, "run");
        long version = Long.parseLong(CoordinatorEndpoint.requiredName(parameters, "version"));
        long waitMillis = Math.min(MAX_WAIT_MILLIS, Long.parseLong(parameters.getOrDefault("wait", "0")));
        List<WriteActivity> writes = CoordinatorProtocol.parseWriteActivity(parameters.getOrDefault("busy", ""));
        MigrationStep registration = migrations.registration(router, run, nowNanos());
        if (registration != null) {
            recordStep(registration);
        }
        migrations.grantLease(router, version, writes, nowNanos());
        long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000L;
        while (!closed && migrations.version() <= version && System.nanoTime() < deadlineNanos) {
            wait(Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000));
        }
        PlacementTable placement = migrations.grantLease(router, version, writes, nowNanos());
        return CoordinatorProtocol.toJson(placement, placement.version() != version);
    }

    private synchronized String cells() {
        return CoordinatorProtocol.toJson(CoordinatorProtocol.cellsStatus(migrations, nowNanos()));
    }

    private synchronized String move(Map<String, String> parameters) throws IOException {
        recordStep(migrations.propose(
                CoordinatorEndpoint.requiredName(parameters, "tenant"),
                CoordinatorEndpoint.requiredName(parameters, "to"),
                "an operator",
                nowNanos()));
        return CoordinatorProtocol.toJson(CoordinatorProtocol.newObject().put("proposed", parameters.get("tenant")));
    }

    private synchronized String undo(Map<String, String> parameters) throws IOException {
        migrations.requestUndo(CoordinatorEndpoint.requiredName(parameters, "tenant"), "an operator");
        recordDueSteps();
        return CoordinatorProtocol.toJson(CoordinatorProtocol.newObject().put("undone", parameters.get("tenant")));
    }

    /** Stops serving and releases the records; migrations under way continue when the coordinator starts again. */
    @Override
    public void close() {
        closed = true;
        endpoint.stop();
        loop.interrupt();
        watch.stop();
        hosts.close();
        endpoint.close();
        records.close();
    }
}
