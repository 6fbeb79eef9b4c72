package beaconladder.coordinator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beaconladder.cells.MigrationStep;
import beaconladder.cells.MigrationStep.Kind;
import beaconladder.cells.PlacementTable;
import beaconladder.cells.TenantPlacement;
import beaconladder.cells.WriteActivity;
import beaconladder.plan.PlanReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Pins the stored and transmitted JSON as literals, so that renames in the code can't change it. */
@Timeout(60)
class CoordinatorProtocolTest {
    private static final String STEP = """
            {"kind":"SWITCHED","tenant":"t","from":"a","to":"b","at":5,"fences":[1,2],"floors":[3,4],\
            "sources":["s","r"],"why":"me"}""";

    private static MigrationStep read(String text) throws IOException {
        return CoordinatorProtocol.fromJson(text.getBytes(StandardCharsets.UTF_8), MigrationStep.class);
    }

    @Test
    void aStepIsWrittenAndReadUnderTheseNames() throws IOException {
        MigrationStep step = new MigrationStep(
                Kind.SWITCHED, "t", "a", "b", 5, List.of(1L, 2L), List.of(3L, 4L), List.of("s", "r"), "me");
        assertThat(CoordinatorProtocol.toJson(step)).isEqualTo(STEP);
        assertThat(read(STEP)).isEqualTo(step);
    }

    @Test
    void everyKindOfStepIsWrittenAndReadUnderItsName() throws IOException {
        String[] names = {
            "SEATED",
            "PROPOSED",
            "COPYING",
            "FENCED",
            "SEALED",
            "SWITCHED",
            "DONE",
            "UNDONE",
            "LEASE",
            "VERSION",
            "ROUTER"
        };
        assertThat(Kind.values()).hasSameSizeAs(names);
        for (int i = 0; i < names.length; i++) {
            String text = STEP.replace("SWITCHED", names[i]);
            assertThat(read(text).kind()).isEqualTo(Kind.values()[i]);
            assertThat(CoordinatorProtocol.toJson(read(text))).isEqualTo(text);
        }
    }

    @Test
    void aStepWithAnUnknownNameIsRejected() {
        assertThatThrownBy(() -> read(STEP.replace("SWITCHED", "MOVED"))).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> read(STEP.replace("fences", "limits"))).isInstanceOf(IOException.class);
    }

    @Test
    void aPlacementTableIsWrittenWithOrWithoutItsPlacements() {
        Map<String, TenantPlacement> placements = new LinkedHashMap<>();
        placements.put("t", new TenantPlacement("a", true, false, false, List.of()));
        placements.put("u", new TenantPlacement("b", false, true, true, List.of(3_000_000L, 4_000_001L)));
        PlacementTable table = new PlacementTable(7, 1_234_999_999L, "beef", placements);
        assertThat(CoordinatorProtocol.toJson(table, false)).isEqualTo("""
                {"version":7,"until_ms":1234,"basis":"beef"}""");
        assertThat(CoordinatorProtocol.toJson(table, true)).isEqualTo("""
                {"version":7,"until_ms":1234,"basis":"beef","seats":[\
                {"tenant":"t","cell":"a","writes":true,"reads":false,"moving":false,"floors_ms":[]},\
                {"tenant":"u","cell":"b","writes":false,"reads":true,"moving":true,"floors_ms":[3,5]}]}""");
    }

    @Test
    void aRoutersReportOfItsWritesIsParsed() {
        assertThat(CoordinatorProtocol.parseWriteActivity("t:2:7:8,u:0"))
                .containsExactly(
                        new WriteActivity("t", 2, List.of(7_000_000L, 8_000_000L)),
                        new WriteActivity("u", 0, List.of()));
        assertThat(CoordinatorProtocol.parseWriteActivity("")).isEmpty();
    }

    @Test
    void theCoordinatorsResponsesHaveTheseNames(@TempDir Path directory) throws Exception {
        int port = StoredMigrationsTest.freePort();
        Path file = directory.resolve("plan");
        Files.writeString(file, StoredMigrationsTest.plan(directory.resolve("store"), port));
        StringBuilder responses = new StringBuilder();
        try (Coordinator coordinator =
                new Coordinator(file, PlanReader.read(file).plan())) {
            assertThat(coordinator).isNotNull();
            for (String path : List.of(
                    "placement?router=n0&run=r1&version=0&wait=0&busy=t:1:5",
                    "placement?router=n0&run=r1&version=3&wait=0&busy=",
                    "placement?router=n0",
                    "move?tenant=t&to=b",
                    "move?tenant=t&to=b",
                    "cells",
                    "undo?tenant=t",
                    "undo?tenant=t",
                    "cells")) {
                responses
                        .append(StoredMigrationsTest.get(port, "/v1/" + path)
                                .replaceAll("(_ms\":)\\d+", "$1NOW")
                                .replaceAll("(\"n0\":)\\d+", "$1AGO"))
                        .append('\n');
            }
        }
        assertThat(responses.toString()).isEqualTo("""
                {"version":3,"until_ms":NOW,"basis":"ab61e7445fded7b5","seats":[\
                {"tenant":"t","cell":"a","writes":true,"reads":true,"moving":false,"floors_ms":[]},\
                {"tenant":"u","cell":"a","writes":true,"reads":true,"moving":false,"floors_ms":[]},\
                {"tenant":"v","cell":"a","writes":true,"reads":true,"moving":false,"floors_ms":[]}]}
                {"version":3,"until_ms":NOW,"basis":"ab61e7445fded7b5"}
                {"error":"'run' is missing or is no name"}
                {"proposed":"t"}
                {"error":"t is being moved to b (PROPOSED)"}
                {"version":3,"seats":{"t":"a","u":"a","v":"a"},"routers":{"n0":AGO},"moves":[{"tenant":"t",\
                "from":"a","to":"b","state":"proposed","waits_for":"a primary of a",\
                "since_ms":NOW}],"ended":[]}
                {"undone":"t"}
                {"error":"t is not being moved"}
                {"version":4,"seats":{"t":"a","u":"a","v":"a"},"routers":{"n0":AGO},"moves":[],"ended":[\
                {"tenant":"t","from":"a","to":"b","state":"undone","at_ms":NOW,\
                "why":"asked for by an operator"}]}
                """);
    }
}
