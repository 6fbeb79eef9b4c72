package beaconladder.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.cells.MigrationObservation;
import beaconladder.cells.MigrationStep;
import beaconladder.cells.StaticPlacement;
import beaconladder.cells.TenantMigrations;
import beaconladder.plan.Plan;
import beaconladder.plan.PlanReader;
import beaconladder.storage.DurableRecords;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Routers' calls that reach the coordinator late, twice or out of order, during the write fence of a migration. */
@Timeout(60)
class LateReportTest {
    private static final long MS = 1_000_000;
    /** Longer than the interval at which the coordinator looks at its migrations. */
    private static final long SEVERAL_ROUNDS_MILLIS = 200;

    private static final String WRITES_IN_FLIGHT = "\"waits_for\":\"writes in hand\"";
    /** No host is up, so a fence without writes in flight waits for the old cell's primary. */
    private static final String WRITES_DRAINED = "\"waits_for\":\"a primary of a\"";

    @TempDir
    Path directory;

    private int port;

    /** A plan in which nothing times out during a test. */
    private static String plan(Path store, int port) {
        return """
                (cell a (groups 0)) (cell b (groups 1)) (tenant t (cell a))
                (keeper (at 127.0.0.1:%d) (discovery 127.0.0.1:1) (store "%s") (lease 60s)
                  (expiry 60s) (copy 600s) (fence 600s))
                """.formatted(port, store);
    }

    private interface Calls {
        void make(long fenceVersion) throws IOException, InterruptedException;
    }

    /** Starts a coordinator on records of a migration of t in its write fence, with the router n0 in its first run. */
    private void duringFence(Calls calls) throws IOException, InterruptedException {
        port = StoredMigrationsTest.freePort();
        Path store = directory.resolve("store");
        Path file = directory.resolve("plan");
        Files.writeString(file, plan(store, port));
        Plan plan = PlanReader.read(file).plan();
        long fenceVersion = writeFencedMigration(store, plan);
        try (Coordinator coordinator = new Coordinator(file, plan)) {
            assertThat(coordinator).isNotNull();
            calls.make(fenceVersion);
        }
    }

    private static long writeFencedMigration(Path store, Plan plan) throws IOException {
        TenantMigrations migrations = new TenantMigrations(new StaticPlacement(plan));
        long nowNanos = Coordinator.nowNanos();
        try (DurableRecords records = DurableRecords.open(store)) {
            writeDueSteps(migrations, records, nowNanos);
            write(migrations, records, migrations.propose("t", "b", "an operator", nowNanos));
            for (int round = 0; round < 2; round++) {
                migrations.recordObservation(
                        "t", 0, new MigrationObservation(nowNanos, "s", nowNanos, "d", nowNanos, List.of(nowNanos)));
                writeDueSteps(migrations, records, nowNanos);
            }
            write(migrations, records, migrations.registration("n0", "r1", nowNanos));
        }
        assertThat(migrations.statuses(nowNanos).get(0).state()).isEqualTo("fenced");
        return migrations.version();
    }

    private static void writeDueSteps(TenantMigrations migrations, DurableRecords records, long nowNanos)
            throws IOException {
        for (MigrationStep step = migrations.nextStep(nowNanos); step != null; step = migrations.nextStep(nowNanos)) {
            write(migrations, records, step);
        }
    }

    private static void write(TenantMigrations migrations, DurableRecords records, MigrationStep step)
            throws IOException {
        records.append(CoordinatorProtocol.toJson(step).getBytes(StandardCharsets.UTF_8));
        migrations.apply(step);
    }

    private void report(String run, long version, int inFlightWrites) throws IOException, InterruptedException {
        StoredMigrationsTest.get(
                port,
                "/v1/placement?router=n0&run=" + run + "&version=" + version + "&wait=0&busy=t:" + inFlightWrites);
    }

    private String statusAfterSeveralRounds() throws IOException, InterruptedException {
        Thread.sleep(SEVERAL_ROUNDS_MILLIS);
        return StoredMigrationsTest.get(port, "/v1/cells");
    }

    /** Guards against committed writes that are lost, as a move goes on while writes are in flight (review/1). */
    @Test
    void aReportFromBeforeTheFenceThatComesLastDoesNotEndTheWritesInFlight() throws Exception {
        duringFence(fenceVersion -> {
            report("r1", fenceVersion, 1);
            report("r1", fenceVersion - 1, 0);
            assertThat(statusAfterSeveralRounds()).contains(WRITES_IN_FLIGHT);
            report("r1", fenceVersion, 0);
            assertThat(statusAfterSeveralRounds()).contains(WRITES_DRAINED);
        });
    }
}
