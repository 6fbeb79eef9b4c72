package beaconladder.coordinator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.entry;

import beaconladder.cells.MigrationObservation;
import beaconladder.cells.MigrationStep;
import beaconladder.cells.MigrationStep.Kind;
import beaconladder.cells.RouterReport;
import beaconladder.cells.StaticPlacement;
import beaconladder.cells.TenantMigrations;
import beaconladder.cells.TenantPlacement;
import beaconladder.cells.WriteActivity;
import beaconladder.plan.PlanReader;
import beaconladder.storage.DurableRecords;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compatibility test for stored records: this build must read the records of an earlier build and continue from them.
 * The fixture src/test/resources/stored/coordinator has a completed migration (t), a switched one (u) and a sealed one
 * (v). It was written by {@link #generate} and must not be generated again when the code changes.
 */
@Timeout(60)
class StoredMigrationsTest {
    private static final long MS = 1_000_000;
    private static final long START = 1_767_225_600_000L * MS;

    @TempDir
    Path directory;

    static String plan(Path store, int port) {
        return """
                (cell a (groups 0)) (cell b (groups 1))
                (tenant t (cell a)) (tenant u (cell a)) (tenant v (cell a))
                (keeper (at 127.0.0.1:%d) (discovery 127.0.0.1:1) (store "%s") (lease 1s)
                  (expiry 300ms) (copy 5s) (fence 2s))
                """.formatted(port, store);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static String get(int port, String path) throws IOException, InterruptedException {
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
    }

    private static TenantMigrations newMigrations() {
        return newMigrations(plan(Path.of("x"), 1));
    }

    private static TenantMigrations newMigrations(String plan) {
        return new TenantMigrations(
                new StaticPlacement(PlanReader.read("p", plan).plan()));
    }

    private static void writeStep(TenantMigrations migrations, DurableRecords records, MigrationStep step)
            throws IOException {
        records.append(CoordinatorProtocol.toJson(step).getBytes(StandardCharsets.UTF_8));
        migrations.apply(step);
    }

    private static void writeDueSteps(TenantMigrations migrations, DurableRecords records, long nowNanos)
            throws IOException {
        for (MigrationStep step = migrations.nextStep(nowNanos); step != null; step = migrations.nextStep(nowNanos)) {
            writeStep(migrations, records, step);
        }
    }

    /** Reports drained writes and a complete copy at this time, and writes the steps that are due then. */
    private static void observeAsCopied(
            TenantMigrations migrations, DurableRecords records, String incarnation, String tenant, long nowNanos)
            throws IOException {
        migrations.recordReport(
                new RouterReport(
                        "n0",
                        incarnation,
                        migrations.version(),
                        List.of(new WriteActivity(tenant, 0, List.of(START + MS)))),
                nowNanos);
        migrations.grantLease("n0", incarnation, nowNanos);
        writeDueSteps(migrations, records, nowNanos);
        migrations.recordObservation(
                tenant,
                0,
                new MigrationObservation(
                        nowNanos + MS, "s", nowNanos + MS, "d", nowNanos + MS, List.of(nowNanos + MS)));
        writeDueSteps(migrations, records, nowNanos + 2 * MS);
    }

    /**
     * Writes the fixture into this directory, which must be empty. The steps are those that a coordinator writes, at
     * fixed times.
     */
    static void generate(Path targetDirectory) throws IOException {
        Path sourceDirectory = Files.createTempDirectory("steps");
        try (DurableRecords records = DurableRecords.open(sourceDirectory)) {
            TenantMigrations migrations = newMigrations();
            writeDueSteps(migrations, records, START);
            writeStep(migrations, records, migrations.registration("n0", "run1", START));
            String[] tenants = {"t", "v", "u"};
            int[] observations = {5, 3, 4};
            for (int i = 0; i < tenants.length; i++) {
                long startNanos = START + 1_000 * MS * i;
                writeStep(migrations, records, migrations.propose(tenants[i], "b", "an operator", startNanos));
                for (int observation = 0; observation < observations[i]; observation++) {
                    observeAsCopied(migrations, records, "run1", tenants[i], startNanos + (observation + 1) * 10 * MS);
                }
            }
        }
        List<byte[]> allRecords;
        try (DurableRecords records = DurableRecords.open(sourceDirectory)) {
            allRecords = records.recovered();
        }
        // Each append takes a block of 4 KB, so a snapshot of most records keeps the fixture small.
        try (DurableRecords records = DurableRecords.open(targetDirectory)) {
            records.replace(allRecords.subList(0, allRecords.size() - 2));
            for (byte[] record : allRecords.subList(allRecords.size() - 2, allRecords.size())) {
                records.append(record);
            }
        }
    }

    private Path copyFixture() throws IOException {
        Path copy = Files.createDirectories(directory.resolve("store"));
        Files.copy(Path.of("src/test/resources/stored/coordinator/records.mv"), copy.resolve("records.mv"));
        return copy;
    }

    private static List<String> storedLines(Path store) throws IOException {
        try (DurableRecords records = DurableRecords.open(store)) {
            return texts(records);
        }
    }

    private static List<String> texts(DurableRecords records) {
        return records.recovered().stream()
                .map(record -> new String(record, StandardCharsets.UTF_8))
                .toList();
    }

    @Test
    void storedRecordsHaveTheirExactContent() throws IOException {
        assertThat(String.join("\n", storedLines(copyFixture())) + "\n")
                .isEqualTo(Files.readString(Path.of("src/test/resources/stored/coordinator/records.txt")));
    }

    @Test
    void everyStoredRecordIsWrittenAgainAsItWasRead() throws IOException {
        for (String line : storedLines(copyFixture())) {
            assertThat(CoordinatorProtocol.toJson(
                            CoordinatorProtocol.fromJson(line.getBytes(StandardCharsets.UTF_8), MigrationStep.class)))
                    .isEqualTo(line);
        }
    }

    @Test
    void storedMigrationsAreCompletedAndTheirStepsAreStored() throws IOException {
        Path store = copyFixture();
        long nowNanos = START + 2_100 * MS;
        // A fence that is long enough for the lease that a router may still have.
        TenantMigrations migrations = newMigrations(plan(Path.of("x"), 1).replace("(fence 2s)", "(fence 4s)"));
        int before;
        try (DurableRecords records = DurableRecords.open(store)) {
            before = records.recovered().size();
            for (byte[] record : records.recovered()) {
                migrations.apply(CoordinatorProtocol.fromJson(record, MigrationStep.class));
            }
            migrations.recoveryCompleted(nowNanos);
            assertThat(migrations.placements())
                    .containsExactly(
                            entry("t", new TenantPlacement("b", true, true, false, List.of(1767225600041000000L))),
                            entry("u", new TenantPlacement("b", true, true, false, List.of(1767225602041000000L))),
                            entry("v", new TenantPlacement("a", false, false, true, List.of())));
            assertThat(migrations.statuses(nowNanos))
                    .containsExactly(
                            new TenantMigrations.MigrationStatus(
                                    "v", "a", "b", "sealed", 1767225601032000000L, "word from n0"),
                            new TenantMigrations.MigrationStatus(
                                    "u", "a", "b", "switched", 1767225602042000000L, "word from n0"));
            writeStep(migrations, records, migrations.registration("n0", "run2", nowNanos));
            // The lease that the earlier run may have, of one second, and the clock skew are waited for.
            observeAsCopied(migrations, records, "run2", "v", nowNanos);
            observeAsCopied(migrations, records, "run2", "v", nowNanos + 1_018 * MS);
            assertThat(migrations.statuses(nowNanos)).hasSize(2);
            observeAsCopied(migrations, records, "run2", "v", nowNanos + 1_021 * MS);
            observeAsCopied(migrations, records, "run2", "v", nowNanos + 1_031 * MS);
        }
        List<String> after = storedLines(store);
        assertThat(after.subList(before, after.size()).stream().map(StoredMigrationsTest::kindAndTenant))
                .containsExactly("ROUTER n0", "SWITCHED v", "DONE u", "DONE v");
        assertThat(migrations.statuses(nowNanos)).isEmpty();
    }

    private static String kindAndTenant(String line) {
        return line.replaceAll("\\{\"kind\":\"(\\w+)\",\"tenant\":\"(\\w*)\".*", "$1 $2");
    }

    /** By the real clock, the time limit of the sealed migration's fence is long exceeded: it is undone, not lost. */
    @Test
    void aCoordinatorThatStartsOnStoredRecordsContinuesFromThem() throws Exception {
        Path store = copyFixture();
        List<String> before = storedLines(store);
        int port = freePort();
        Path file = directory.resolve("plan");
        Files.writeString(file, plan(store, port));
        String cells;
        try (Coordinator coordinator =
                new Coordinator(file, PlanReader.read(file).plan())) {
            assertThat(coordinator).isNotNull();
            do {
                Thread.sleep(20);
                cells = get(port, "/v1/cells");
            } while (!cells.contains("\"moves\":[]"));
        }
        assertThat(cells.replaceAll("(\"at_ms\":)(?!17672256)\\d+", "$1NOW")).isEqualTo("""
                {"version":15,"seats":{"t":"b","u":"b","v":"a"},"routers":{"n0":-1},"moves":[],"ended":[\
                {"tenant":"t","from":"a","to":"b","state":"done","at_ms":1767225600050,"why":null},\
                {"tenant":"v","from":"a","to":"b","state":"undone","at_ms":NOW,\
                "why":"the fence had to go: word from n0"},\
                {"tenant":"u","from":"a","to":"b","state":"done","at_ms":NOW,"why":null}]}""");
        List<String> after = storedLines(store);
        assertThat(after.subList(0, before.size())).isEqualTo(before);
        assertThat(after.subList(before.size(), after.size()).stream().map(StoredMigrationsTest::kindAndTenant))
                .containsExactly(Kind.UNDONE + " v", Kind.DONE + " u");
    }
}
