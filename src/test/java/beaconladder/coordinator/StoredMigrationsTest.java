package beaconladder.coordinator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.entry;

import beaconladder.cells.MigrationObservation;
import beaconladder.cells.MigrationStep;
import beaconladder.cells.MigrationStep.Kind;
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
 * Records that an earlier build has written are read by this one, and it continues from them. The fixture
 * src/test/resources/stored/coordinator holds one finished move (t), one that is switched (u) and one that is sealed
 * (v). It is made by {@link #generate} and is not to be made anew when the code changes.
 */
@Timeout(60)
class StoredMigrationsTest {
    private static final long MS = 1_000_000;
    private static final long START = 1_767_225_600_000L * MS;

    @TempDir
    Path folder;

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

    private static TenantMigrations moves() {
        return new TenantMigrations(
                new StaticPlacement(PlanReader.read("p", plan(Path.of("x"), 1)).plan()));
    }

    private static void write(TenantMigrations moves, DurableRecords records, MigrationStep step) throws IOException {
        records.append(CoordinatorProtocol.text(step).getBytes(StandardCharsets.UTF_8));
        moves.apply(step);
    }

    private static void settle(TenantMigrations moves, DurableRecords records, long now) throws IOException {
        for (MigrationStep step = moves.nextStep(now); step != null; step = moves.nextStep(now)) {
            write(moves, records, step);
        }
    }

    /** Lets all of the move be seen as copied at this time, and takes what is due then. */
    private static void seen(TenantMigrations moves, DurableRecords records, String tenant, long now)
            throws IOException {
        moves.grantLease("n0", moves.version(), List.of(new WriteActivity(tenant, 0, List.of(START + MS))), now);
        settle(moves, records, now);
        moves.recordObservation(
                tenant, 0, new MigrationObservation(now + MS, "s", now + MS, "d", now + MS, List.of(now + MS)));
        settle(moves, records, now + 2 * MS);
    }

    /**
     * Writes the fixture into this folder, which must be empty. The steps are the ones that a keeper writes, at fixed
     * times.
     */
    static void generate(Path into) throws IOException {
        Path steps = Files.createTempDirectory("steps");
        try (DurableRecords records = DurableRecords.open(steps)) {
            TenantMigrations moves = moves();
            settle(moves, records, START);
            write(moves, records, moves.registration("n0", "run1", START));
            String[] tenants = {"t", "v", "u"};
            int[] rounds = {5, 3, 4};
            for (int i = 0; i < tenants.length; i++) {
                long from = START + 1_000 * MS * i;
                write(moves, records, moves.propose(tenants[i], "b", "an operator", from));
                for (int round = 0; round < rounds[i]; round++) {
                    seen(moves, records, tenants[i], from + (round + 1) * 10 * MS);
                }
            }
        }
        List<byte[]> all;
        try (DurableRecords records = DurableRecords.open(steps)) {
            all = records.recovered();
        }
        // Each append costs a block of 4 KB; a snapshot first keeps the fixture small.
        try (DurableRecords records = DurableRecords.open(into)) {
            records.replace(all.subList(0, all.size() - 2));
            for (byte[] record : all.subList(all.size() - 2, all.size())) {
                records.append(record);
            }
        }
    }

    private Path fixture() throws IOException {
        Path copy = Files.createDirectories(folder.resolve("store"));
        Files.copy(Path.of("src/test/resources/stored/coordinator/records.mv"), copy.resolve("records.mv"));
        return copy;
    }

    private static List<String> lines(Path store) throws IOException {
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
        assertThat(String.join("\n", lines(fixture())) + "\n")
                .isEqualTo(Files.readString(Path.of("src/test/resources/stored/coordinator/records.txt")));
    }

    @Test
    void everyStoredRecordIsWrittenAgainAsItWasRead() throws IOException {
        for (String line : lines(fixture())) {
            assertThat(CoordinatorProtocol.text(
                            CoordinatorProtocol.read(line.getBytes(StandardCharsets.UTF_8), MigrationStep.class)))
                    .isEqualTo(line);
        }
    }

    @Test
    void storedMovesAreFinishedAndTheirStepsAreStored() throws IOException {
        Path store = fixture();
        long now = START + 2_100 * MS;
        TenantMigrations moves = moves();
        int before;
        try (DurableRecords records = DurableRecords.open(store)) {
            before = records.recovered().size();
            for (byte[] record : records.recovered()) {
                moves.apply(CoordinatorProtocol.read(record, MigrationStep.class));
            }
            moves.recoveredAt(now);
            assertThat(moves.placements())
                    .containsExactly(
                            entry("t", new TenantPlacement("b", true, true, false, List.of(1767225600041000000L))),
                            entry("u", new TenantPlacement("b", true, true, false, List.of(1767225602041000000L))),
                            entry("v", new TenantPlacement("a", false, false, true, List.of())));
            assertThat(moves.statuses(now))
                    .containsExactly(
                            new TenantMigrations.Shown("v", "a", "b", "sealed", 1767225601032000000L, "word from n0"),
                            new TenantMigrations.Shown(
                                    "u", "a", "b", "switched", 1767225602042000000L, "word from n0"));
            write(moves, records, moves.registration("n0", "run2", now));
            seen(moves, records, "v", now);
            seen(moves, records, "v", now + 10 * MS);
        }
        List<String> after = lines(store);
        assertThat(after.subList(before, after.size()).stream().map(StoredMigrationsTest::kindAndTenant))
                .containsExactly("ROUTER n0", "DONE u", "SWITCHED v", "DONE v");
        assertThat(moves.statuses(now)).isEmpty();
    }

    private static String kindAndTenant(String line) {
        return line.replaceAll("\\{\"kind\":\"(\\w+)\",\"tenant\":\"(\\w*)\".*", "$1 $2");
    }

    /** By the clock of the machine, the fence of the sealed move is long over: it is undone, not lost. */
    @Test
    void aKeeperThatStartsOnStoredRecordsGoesOnFromThem() throws Exception {
        Path store = fixture();
        List<String> before = lines(store);
        int port = freePort();
        Path file = folder.resolve("plan");
        Files.writeString(file, plan(store, port));
        String cells;
        try (Coordinator keeper = new Coordinator(file, PlanReader.read(file).plan())) {
            assertThat(keeper).isNotNull();
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
        List<String> after = lines(store);
        assertThat(after.subList(0, before.size())).isEqualTo(before);
        assertThat(after.subList(before.size(), after.size()).stream().map(StoredMigrationsTest::kindAndTenant))
                .containsExactly(Kind.UNDONE + " v", Kind.DONE + " u");
    }
}
