package beaconladder.cells;

import static beaconladder.cells.MigrationFixture.MS;
import static beaconladder.cells.MigrationFixture.START;
import static beaconladder.cells.MigrationFixture.applyDueSteps;
import static beaconladder.cells.MigrationFixture.observation;
import static beaconladder.cells.MigrationFixture.report;
import static beaconladder.cells.MigrationFixture.staticPlacement;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beaconladder.cells.MigrationStep.Kind;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests of the coordinator's state machine, alone and with simulated routers. */
class TenantMigrationsTest {
    @Test
    void aMigrationWaitsForRoutersForDrainedWritesAndForTheCopy() {
        TenantMigrations migrations = new TenantMigrations(staticPlacement());
        StringBuilder trace = new StringBuilder();
        applyDueSteps(migrations, trace, START);
        migrations.apply(migrations.registration("n0", "1", START));
        migrations.apply(migrations.propose("t", "b", "me", START));
        migrations.recordObservation("t", 0, observation(START, "s", START, "d", Long.MIN_VALUE));
        applyDueSteps(migrations, trace, START + MS);
        long version = migrations.version();
        report(migrations, "1", version, new WriteActivity("t", 2, List.of(0L)), START + 2 * MS);
        migrations.recordObservation("t", 0, observation(START + 10 * MS, "s", START + 10 * MS, "d", START + 9 * MS));
        applyDueSteps(migrations, trace, START + 10 * MS);
        // The router has applied the fence with two writes in flight. Later it reports none, and a commit that is newer
        // than the source's position.
        report(migrations, "1", migrations.version(), new WriteActivity("t", 2, List.of(0L)), START + 20 * MS);
        migrations.recordObservation("t", 0, observation(START + 25 * MS, "s", START + 25 * MS, "d", START + 25 * MS));
        applyDueSteps(migrations, trace, START + 30 * MS);
        report(
                migrations,
                "1",
                migrations.version(),
                new WriteActivity("t", 0, List.of(START + 50 * MS)),
                START + 40 * MS);
        applyDueSteps(migrations, trace, START + 41 * MS);
        migrations.recordObservation("t", 0, observation(START + 45 * MS, "s", START + 45 * MS, "d", START + 49 * MS));
        applyDueSteps(migrations, trace, START + 46 * MS);
        migrations.recordObservation("t", 0, observation(START + 55 * MS, "s", START + 55 * MS, "d", START + 50 * MS));
        applyDueSteps(migrations, trace, START + 56 * MS);
        // Sealed, but the router has not applied it. Its lease ends at 240 ms; the next step is due once the clock skew
        // has passed as well.
        migrations.recordObservation(
                "t", 0, observation(START + 200 * MS, "s", START + 200 * MS, "d", START + 200 * MS));
        applyDueSteps(migrations, trace, START + 200 * MS);
        applyDueSteps(migrations, trace, START + 270 * MS);
        assertThat(trace.toString()).isEqualTo("""
                0 LEASE
                0 PLACED t
                0 PLACED u
                1 COPYING t
                10 FENCED t
                56 SEALED t
                270 SWITCHED t
                270 DONE t
                """);
        assertThat(migrations.placements().get("t"))
                .isEqualTo(new TenantPlacement("b", true, true, false, List.of(START + 200 * MS)));
    }

    @Test
    void theReasonOfARejectedMigrationOrUndoIsStated() {
        TenantMigrations migrations = new TenantMigrations(staticPlacement());
        applyDueSteps(migrations, new StringBuilder(), START);
        StringBuilder messages = new StringBuilder();
        for (String[] proposal : new String[][] {{"x", "b"}, {"f", "b"}, {"t", "c"}, {"t", "a"}}) {
            assertThatThrownBy(() -> migrations.propose(proposal[0], proposal[1], "me", START))
                    .satisfies(e -> messages.append(e.getMessage()).append('\n'));
        }
        migrations.apply(migrations.propose("t", "b", "me", START));
        assertThatThrownBy(() -> migrations.propose("t", "b", "me", START))
                .satisfies(e -> messages.append(e.getMessage()).append('\n'));
        assertThatThrownBy(() -> migrations.requestUndo("u", "me"))
                .satisfies(e -> messages.append(e.getMessage()).append('\n'));
        assertThat(messages.toString()).isEqualTo("""
                no tenant 'x' is stated in the plan
                f is fixed and can't be moved
                no cell 'c' is stated in the plan
                t lives in a as it is
                t is being moved to b (PROPOSED)
                u is not being moved
                """);
    }

    @Test
    void aSourceFailureDuringTheFenceOrAnExceededLimitUndoesTheMigration() {
        for (boolean sourceFails : new boolean[] {true, false}) {
            TenantMigrations migrations = new TenantMigrations(staticPlacement());
            StringBuilder trace = new StringBuilder();
            applyDueSteps(migrations, new StringBuilder(), START);
            migrations.apply(migrations.propose("t", "b", "me", START));
            migrations.recordObservation("t", 0, observation(START, "s", START, "d", Long.MIN_VALUE));
            applyDueSteps(migrations, trace, START);
            migrations.recordObservation("t", 0, observation(START + MS, "s", START + MS, "d", START + MS));
            applyDueSteps(migrations, trace, START + MS);
            migrations.recordObservation(
                    "t", 0, observation(START + 2 * MS, sourceFails ? "other" : null, START, "d", START));
            applyDueSteps(migrations, trace, START + 3 * MS);
            applyDueSteps(migrations, trace, START + 2_000 * MS);
            assertThat(trace.toString()).isEqualTo(sourceFails ? """
                    0 COPYING t
                    1 FENCED t
                    3 UNDONE t a primary of a changed in the fence
                    """ : """
                    0 COPYING t
                    1 FENCED t
                    2000 UNDONE t the fence had to go: a primary of a
                    """);
            assertThat(migrations.placements().get("t").cell()).isEqualTo("a");
            assertThat(migrations.placements().get("t").admitsWrites()).isTrue();
        }
    }

    @Test
    void theRecordsLeadToTheSameStateAndSoDoesTheirSnapshot() {
        List<MigrationStep> records = new ArrayList<>();
        TenantMigrations migrations = new TenantMigrations(staticPlacement());
        for (int round = 0; records.size() < 10_100; round++) {
            long nowNanos = START + round * 10_000 * MS;
            SplittableRandom random = new SplittableRandom(round);
            recordDueSteps(migrations, records, nowNanos);
            String toCell = migrations.placements().get("t").cell().equals("a") ? "b" : "a";
            MigrationStep proposed = migrations.propose("t", toCell, "me", nowNanos);
            records.add(proposed);
            migrations.apply(proposed);
            for (int i = 1; i < 8; i++) {
                long atNanos = nowNanos + i * 10 * MS;
                migrations.recordObservation("t", 0, observation(atNanos, "s", atNanos, "d", atNanos));
                recordDueSteps(migrations, records, atNanos);
                if (random.nextInt(20) == 0
                        && migrations.statuses(atNanos).stream()
                                .noneMatch(status -> status.state().equals("switched"))
                        && !migrations.statuses(atNanos).isEmpty()) {
                    migrations.requestUndo("t", "me");
                }
            }
        }
        TenantMigrations replayed = new TenantMigrations(staticPlacement());
        records.forEach(replayed::apply);
        assertThat(replayed.placements()).isEqualTo(migrations.placements());
        assertThat(replayed.version()).isEqualTo(migrations.version());
        List<MigrationStep> snapshot = replayed.snapshot(START);
        TenantMigrations fromSnapshot = new TenantMigrations(staticPlacement());
        snapshot.forEach(fromSnapshot::apply);
        assertThat(snapshot).hasSizeLessThan(10);
        assertThat(fromSnapshot.placements()).isEqualTo(migrations.placements());
        assertThat(fromSnapshot.version()).isEqualTo(migrations.version());
    }

    private static void recordDueSteps(TenantMigrations migrations, List<MigrationStep> records, long nowNanos) {
        for (MigrationStep step = migrations.nextStep(nowNanos); step != null; step = migrations.nextStep(nowNanos)) {
            records.add(step);
            migrations.apply(step);
        }
    }

    /**
     * No write runs in the old cell after the fence or in the new cell before the switch; see
     * {@link MigrationSimulation} for the faults.
     */
    @Test
    void noOrderOfEventsLetsAWriteRunInTheWrongCell() {
        Map<Kind, Integer> ends = new EnumMap<>(Kind.class);
        for (int seed = 0; seed < 1_500; seed++) {
            new MigrationSimulation(staticPlacement(), START, seed).run(ends);
        }
        // The random faults must undo some migrations, but not most.
        assertThat(ends.get(Kind.DONE)).isGreaterThan(500);
        assertThat(ends.get(Kind.UNDONE)).isGreaterThan(50);
    }
}
