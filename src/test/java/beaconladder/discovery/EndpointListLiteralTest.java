package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Parses a literal endpoint list of discovery and literal settings: the names in the JSON must not change. */
class EndpointListLiteralTest {
    private static final String LIST = """
            {"version": 42, "full": true, "servers": [
              {"id": "s-1", "addr": "10.0.0.4:5432", "zone": "a", "kind": "m2", "cell": 7, "state": "Ready",
               "weight": 1.0, "started_ms": 1767225600123, "role": "leader"},
              {"id": "s-2", "addr": "10.0.0.5:5433", "zone": "b", "cell": 7, "state": "Terminating",
               "role": "follower"},
              {"id": "s-3", "cell": 8, "state": "Gone"}]}
            """;

    @Test
    void listHasItsVersionAndHosts() throws Exception {
        EndpointListReader.EndpointUpdate update =
                EndpointListReader.read(new ByteArrayInputStream(LIST.getBytes(StandardCharsets.UTF_8)));
        assertThat(update.version()).isEqualTo(42);
        assertThat(update.complete()).isTrue();
        assertThat(update.entries())
                .containsExactly(
                        new EndpointWatch.Entry(
                                "s-1",
                                new InetSocketAddress("10.0.0.4", 5432),
                                "a",
                                7,
                                EndpointWatch.State.READY,
                                true,
                                1767225600123L),
                        new EndpointWatch.Entry(
                                "s-2",
                                new InetSocketAddress("10.0.0.5", 5433),
                                "b",
                                7,
                                EndpointWatch.State.DRAINING,
                                false,
                                0),
                        new EndpointWatch.Entry("s-3", null, "null", 8, EndpointWatch.State.GONE, false, 0));
        assertThat(EndpointWatch.parseEntries((Map<?, ?>) JsonReader.parse(LIST)))
                .isEqualTo(update.entries());
    }

    @Test
    void listOfChangesIsNotComplete() throws Exception {
        String changes = "{\"servers\":[],\"version\":43}";
        assertThat(EndpointListReader.read(new ByteArrayInputStream(changes.getBytes(StandardCharsets.UTF_8))))
                .isEqualTo(new EndpointListReader.EndpointUpdate(43, false, List.of()));
    }

    @Test
    void settingsAreFlattenedToDottedNames() throws Exception {
        Map<String, String> flat = new LinkedHashMap<>();
        JsonReader.flatten("", JsonReader.parse("""
                {"rules": {"ask_every_us": 2e6, "on": true, "none": null}, "zones": ["a", "b c"],
                 "parties": [{"name": "acme, inc"}, {"name": "beta"}], "hosts": []}
                """), flat);
        assertThat(flat.toString())
                .isEqualTo("{rules.ask_every_us=2000000, rules.on=true, zones=a,b_c,"
                        + " parties.count=2, parties.0.name=acme__inc, parties.1.name=beta, hosts=}");
    }
}
