package beaconladder.plan;

import static org.assertj.core.api.Assertions.assertThat;

import inet.ipaddr.IPAddressString;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Every word that a plan may contain, with a value that is not its default, and the whole plan read. */
class PlanLiteralTest {
    private static final String TEXT = """
            (cell north (groups 0 1) (share 75%))
            (cell south (groups 2 3))
            (tenant acme (cell north) (share 25%) (networks 10.1.0.0/16) (apart-from beta) (load 12txns/s)
              (value 3) (fixed))
            (tenant beta (cell south))
            (others (spread 2) (share 50%))
            (router n3 (serves south north))
            (keeper (at 127.0.0.1:7070) (discovery 127.0.0.1:8500) (store "records") (lease 500ms) (expiry 2s)
              (copy 1min) (fence 1h))
            (move beta north)
            (leases (length 2s) (clock 50ms) (disk 1GB))
            (grantor k0 (raft k0:7101) (at 127.0.0.1:7201) (store "s0") (gossip g0:7301))
            """;
    private static final String PLAINEST = """
            (cell only (groups 5))
            (others)
            (keeper (at 127.0.0.1:7070) (discovery 127.0.0.1:8500) (store "records"))
            (leases)
            (grantor k0 (raft k0:7101) (at 127.0.0.1:7201) (store "s0"))
            """;

    @Test
    void everyWordOfAPlanIsRead() {
        PlanReader.Result read = PlanReader.read("p", TEXT);
        assertThat(read.errors()).isEmpty();
        assertThat(read.plan())
                .isEqualTo(new Plan(
                        "p",
                        List.of(
                                new Plan.Cell("north", List.of(0, 1), 0.75),
                                new Plan.Cell("south", List.of(2, 3), 0.25)),
                        List.of(
                                new Plan.Tenant(
                                        "acme",
                                        "north",
                                        0.25,
                                        List.of(new IPAddressString("10.1.0.0/16").getAddress()),
                                        List.of("beta"),
                                        12,
                                        3,
                                        true),
                                new Plan.Tenant("beta", "south", 1, List.of(), List.of(), 1, 1, false)),
                        new Plan.OtherTenants(2, 0.5),
                        Map.of("n3", List.of("south", "north")),
                        new Plan.Coordinator(
                                at(7070),
                                at(8500),
                                "records",
                                500_000_000L,
                                2_000_000_000L,
                                60_000_000_000L,
                                3_600_000_000_000L),
                        List.of(new Plan.Relocation("beta", "north")),
                        new Plan.Leases(
                                2_000_000_000L,
                                50_000_000L,
                                1L << 30,
                                List.of(new Plan.LeaseServer("k0", "k0:7101", at(7201), "s0", "g0:7301")))));
    }

    @Test
    void whatIsNotStatedHasItsDefault() {
        PlanReader.Result read = PlanReader.read("p", PLAINEST);
        assertThat(read.errors()).isEmpty();
        assertThat(read.plan())
                .isEqualTo(new Plan(
                        "p",
                        List.of(new Plan.Cell("only", List.of(5), 1)),
                        List.of(),
                        new Plan.OtherTenants(1, 0.1),
                        Map.of(),
                        new Plan.Coordinator(
                                at(7070),
                                at(8500),
                                "records",
                                2_000_000_000L,
                                3_000_000_000L,
                                600_000_000_000L,
                                10_000_000_000L),
                        List.of(),
                        new Plan.Leases(
                                5_000_000_000L,
                                100_000_000L,
                                64L << 20,
                                List.of(new Plan.LeaseServer("k0", "k0:7101", at(7201), "s0", null)))));
    }

    private static InetSocketAddress at(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }
}
