package beaconladder.cells;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.plan.PlanReader;
import java.util.List;

/** A plan of two cells, and the events of a migration of tenant t between them, in virtual time. */
final class MigrationFixture {
    static final long MS = 1_000_000;
    static final long START = 1_000_000 * MS;
    static final String PLAN = """
            (cell a (groups 0)) (cell b (groups 1))
            (tenant t (cell a)) (tenant u (cell b)) (tenant f (cell a) (fixed))
            (keeper (at 127.0.0.1:1) (discovery 127.0.0.1:2) (store "x") (lease 200ms)
              (expiry 300ms) (copy 5s) (fence 1s))
            """;

    private MigrationFixture() {}

    static StaticPlacement staticPlacement() {
        return new StaticPlacement(PlanReader.read("p", PLAN).plan());
    }

    static MigrationObservation observation(
            long atNanos, String sourcePrimary, long sourcePosition, String targetPrimary, long copiedNanos) {
        return new MigrationObservation(
                atNanos, sourcePrimary, sourcePosition, targetPrimary, atNanos, List.of(copiedNanos, copiedNanos + MS));
    }

    /** Records a report of this run of the router n0 and grants it a lease. */
    static void report(
            TenantMigrations migrations, String incarnation, long version, WriteActivity activity, long nowNanos) {
        migrations.recordReport(new RouterReport("n0", incarnation, version, List.of(activity)), nowNanos);
        migrations.grantLease("n0", incarnation, nowNanos);
    }

    /** Applies the steps that are due, and appends them to a trace. */
    static void applyDueSteps(TenantMigrations migrations, StringBuilder trace, long nowNanos) {
        for (MigrationStep step = migrations.nextStep(nowNanos); step != null; step = migrations.nextStep(nowNanos)) {
            migrations.apply(step);
            trace.append((nowNanos - START) / MS)
                    .append(' ')
                    .append(step.kind())
                    .append(step.tenant().isEmpty() ? "" : " " + step.tenant())
                    .append(step.detail() == null ? "" : " " + step.detail())
                    .append('\n');
        }
    }

    /** Returns a migration of t in its write fence since 2 ms, with a router whose lease ends at 201 ms. */
    static TenantMigrations fencedMigration() {
        TenantMigrations migrations = new TenantMigrations(staticPlacement());
        StringBuilder trace = new StringBuilder();
        applyDueSteps(migrations, trace, START);
        migrations.apply(migrations.registration("n0", "1", START));
        report(migrations, "1", migrations.version(), new WriteActivity("t", 0, List.of()), START);
        migrations.apply(migrations.propose("t", "b", "me", START));
        migrations.recordObservation("t", 0, observation(START, "s", START, "d", START));
        applyDueSteps(migrations, trace, START);
        report(migrations, "1", migrations.version(), new WriteActivity("t", 1, List.of(START)), START + MS);
        migrations.recordObservation("t", 0, observation(START + 2 * MS, "s", START, "d", START));
        applyDueSteps(migrations, trace, START + 2 * MS);
        assertThat(trace.toString()).endsWith("2 FENCED t\n");
        return migrations;
    }

    /** Returns what the migration of t waits for. */
    static String waitsFor(TenantMigrations migrations, long nowNanos) {
        applyDueSteps(migrations, new StringBuilder(), nowNanos);
        return migrations.statuses(nowNanos).get(0).waitsFor();
    }
}
