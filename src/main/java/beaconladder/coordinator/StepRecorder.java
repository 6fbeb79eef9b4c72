package beaconladder.coordinator;

import beaconladder.cells.MigrationStep;
import beaconladder.cells.MigrationStep.Kind;
import beaconladder.cells.TenantMigrations;
import beaconladder.storage.DurableRecords;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the steps of migrations and applies them: a step is durable before it is applied. Not thread-safe; the
 * coordinator's monitor guards it.
 */
final class StepRecorder implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StepRecorder.class);

    private final DurableRecords records;
    private final TenantMigrations migrations;
    private final Runnable onStep;
    /** Final steps of migrations whose hosts have not been notified yet; not stored. */
    private final List<MigrationStep> unnotifiedEnds = new ArrayList<>();

    /**
     * Creates a recorder.
     *
     * @param records the stored steps; closed with the recorder
     * @param migrations the migrations, to which no step has been applied
     * @param onStep called after each step that is recorded
     */
    StepRecorder(DurableRecords records, TenantMigrations migrations, Runnable onStep) {
        this.records = records;
        this.migrations = migrations;
        this.onStep = onStep;
    }

    /** Applies the stored steps; must be called once, before any other method. */
    void recover(long nowNanos) throws IOException {
        for (byte[] record : records.recovered()) {
            migrations.apply(CoordinatorProtocol.fromJson(record, MigrationStep.class));
        }
        migrations.recoveryCompleted(nowNanos);
        LOG.info(
                "recovered {} records, {} migrations under way",
                records.recovered().size(),
                migrations.statuses(nowNanos).size());
    }

    /** Records and applies all steps that are due; replaces the records by a snapshot when there are enough. */
    void recordDueSteps(long nowNanos) throws IOException {
        for (MigrationStep step = migrations.nextStep(nowNanos); step != null; step = migrations.nextStep(nowNanos)) {
            record(step);
        }
        List<MigrationStep> snapshot = migrations.snapshot(nowNanos);
        if (snapshot != null) {
            records.replace(snapshot.stream().map(StepRecorder::serialize).toList());
        }
    }

    /** Stores and applies a step. */
    void record(MigrationStep step) throws IOException {
        records.append(serialize(step));
        migrations.apply(step);
        if (step.kind() == Kind.DONE || step.kind() == Kind.UNDONE) {
            unnotifiedEnds.add(step);
        }
        log(step);
        onStep.run();
    }

    private void log(MigrationStep step) {
        if (step.kind() == Kind.SEALED) {
            LOG.info("{}", migrations.drainEvidence(step.tenant()));
        }
        if (step.kind() != Kind.LEASE && step.kind() != Kind.PLACED) {
            LOG.info(
                    "{} {}{}{}",
                    step.kind().name().toLowerCase(Locale.ROOT),
                    step.tenant(),
                    step.toCell() == null ? "" : " from " + step.fromCell() + " to " + step.toCell(),
                    step.detail() == null ? "" : ": " + step.detail());
        }
    }

    private static byte[] serialize(MigrationStep step) {
        return CoordinatorProtocol.toJson(step).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the final steps that have been recorded since the last call. */
    List<MigrationStep> takeEnds() {
        List<MigrationStep> ends = List.copyOf(unnotifiedEnds);
        unnotifiedEnds.clear();
        return ends;
    }

    @Override
    public void close() {
        records.close();
    }
}
