package beaconladder.cells;

import static beaconladder.cells.MigrationFixture.MS;
import static beaconladder.cells.MigrationFixture.START;
import static beaconladder.cells.MigrationFixture.applyDueSteps;
import static beaconladder.cells.MigrationFixture.fencedMigration;
import static beaconladder.cells.MigrationFixture.observation;
import static beaconladder.cells.MigrationFixture.report;
import static beaconladder.cells.MigrationFixture.waitsFor;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Routers' reports during a write fence that arrive late, twice or out of order, also those of an earlier run. */
class RouterReportsTest {
    private static WriteActivity inFlight(int writes) {
        return new WriteActivity("t", writes, List.of(START));
    }

    /** Guards against a fence that ends too early, or at a lower position, by a late report (review/1). */
    @Test
    void aLateReportIsWeighedByTheVersionThatItWasMadeUnder() {
        TenantMigrations migrations = fencedMigration();
        long fence = migrations.version();
        report(migrations, "1", fence, new WriteActivity("t", 1, List.of(START + 5 * MS)), START + 20 * MS);
        // From before the fence, and twice.
        report(migrations, "1", fence - 1, new WriteActivity("t", 0, List.of(START)), START + 21 * MS);
        report(migrations, "1", fence - 1, new WriteActivity("t", 0, List.of(START)), START + 22 * MS);
        assertThat(waitsFor(migrations, START + 23 * MS)).isEqualTo("writes in hand");
        report(migrations, "1", fence, new WriteActivity("t", 0, List.of(START + 90 * MS)), START + 30 * MS);
        // From the fence, but from before the last commit.
        report(migrations, "1", fence, new WriteActivity("t", 1, List.of(START + 5 * MS)), START + 31 * MS);
        report(migrations, "1", fence, new WriteActivity("t", 0, List.of(START + 5 * MS)), START + 32 * MS);
        StringBuilder trace = new StringBuilder();
        applyDueSteps(migrations, trace, START + 33 * MS);
        migrations.recordObservation("t", 0, observation(START + 40 * MS, "s", START + 40 * MS, "d", START + 80 * MS));
        applyDueSteps(migrations, trace, START + 41 * MS);
        assertThat(trace.toString())
                .as("copied up to a position before the last commit")
                .isEmpty();
        migrations.recordObservation("t", 0, observation(START + 50 * MS, "s", START + 40 * MS, "d", START + 90 * MS));
        applyDueSteps(migrations, trace, START + 51 * MS);
        assertThat(trace.toString()).isEqualTo("51 SEALED t\n");
        assertThat(migrations.drainEvidence("t")).isEqualTo(new DrainEvidence("t", fence, 1, fence, 0));
    }

    /** Guards against writes and reads in the old cell by a run that is still up when the next one reports. */
    @Test
    void anEarlierRunIsWaitedForUntilItsLeaseAndItsLastWritesHaveExpired() {
        TenantMigrations migrations = fencedMigration();
        // The lease of run 1 ends at 201 ms; a write that it sends until then may run for 300 ms more.
        migrations.apply(migrations.registration("n0", "2", START + 3 * MS));
        report(migrations, "2", migrations.version(), inFlight(0), START + 3 * MS);
        assertThat(waitsFor(migrations, START + 200 * MS)).isEqualTo("word from n0");
        report(migrations, "2", migrations.version(), inFlight(0), START + 320 * MS);
        assertThat(waitsFor(migrations, START + 520 * MS)).isEqualTo("writes in hand");
        assertThat(waitsFor(migrations, START + 522 * MS)).isEqualTo("the copy");
    }

    /** Guards against a fence that starts over, or ends too early, by a call of a run that has ended long ago. */
    @Test
    void aLateCallOfAnEarlierRunChangesNothingForTheRunThatIsUp() {
        TenantMigrations migrations = fencedMigration();
        long fence = migrations.version();
        migrations.apply(migrations.registration("n0", "2", START + 3 * MS));
        report(migrations, "2", fence, inFlight(1), START + 3 * MS);
        report(migrations, "2", fence, inFlight(1), START + 530 * MS);
        // Run 1 has ended and is removed, so its late call registers it again.
        migrations.apply(migrations.registration("n0", "1", START + 531 * MS));
        report(migrations, "1", fence - 1, inFlight(0), START + 531 * MS);
        assertThat(waitsFor(migrations, START + 532 * MS)).isEqualTo("writes in hand");
        assertThat(migrations.registration("n0", "2", START + 533 * MS)).isNull();
        report(migrations, "2", fence, inFlight(0), START + 533 * MS);
        assertThat(waitsFor(migrations, START + 534 * MS)).isEqualTo("the copy");
    }

    /** Guards against a migration that never goes on, as a router's calls arrive but no answer reaches it. */
    @Test
    void aLeaseOnTheNewPlacementDoesNotExtendTheOneOnTheOld() {
        TenantMigrations migrations = fencedMigration();
        for (int millis = 10; millis < 520; millis += 10) {
            report(migrations, "1", migrations.version() - 1, inFlight(0), START + millis * MS);
        }
        assertThat(waitsFor(migrations, START + 222 * MS)).isEqualTo("writes in hand");
        assertThat(waitsFor(migrations, START + 522 * MS)).isEqualTo("the copy");
    }
}
