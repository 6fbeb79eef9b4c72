package beaconladder.plan;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Each mistake is named with its line and column, all of them at once, and a good plan comes out as stated. */
class PlanReaderTest {
    private static final String GOOD = """
            ; two cells
            (cell north (groups 0 1) (share 60%))
            (cell south (groups 2 3))
            (tenant acme (cell north) (share 25%) (networks 10.1.0.0/16 "2001:db8::/32") (load 12txns/s))
            (tenant beta (cell south) (apart-from acme) (value 3) (fixed))
            (others (spread 2) (share 10%))
            (router n3 (serves south))
            (keeper (at 127.0.0.1:7070) (discovery 127.0.0.1:8500) (store "records") (lease 500ms) (expiry 2s)
              (copy 1min) (fence 4s))
            (move acme south)
            """;

    @Test
    void aGoodPlanIsReadWithItsUnitsAndDefaults() {
        Plan plan = PlanReader.read("p", GOOD).plan();
        assertThat(plan.cells()).extracting(Plan.Cell::share).containsExactly(0.6, 0.4);
        assertThat(plan.tenant("acme").networks()).hasSize(2);
        assertThat(plan.tenant("beta").fixed()).isTrue();
        assertThat(plan.coordinator().leaseNanos()).isEqualTo(500_000_000L);
        assertThat(plan.coordinator().maxCopyNanos()).isEqualTo(60_000_000_000L);
        assertThat(plan.cellsByRouter().get("n3")).containsExactly("south");
        assertThat(plan.relocations()).containsExactly(new Plan.Relocation("acme", "south"));
    }

    @Test
    void everyMistakeIsNamedWhereItStands() {
        assertThat(faults("(cell a (groups 0)")).isEqualTo("p:1:19: the file ends where a ')' belongs");
        assertThat(faults("(cell a (groups 0)))")).isEqualTo("p:1:20: a ')' that closes nothing");
        assertThat(faults("(cell \"a (groups 0))")).startsWith("p:1:7: a quoted text that does not end");
        assertThat(faults("cell")).isEqualTo("p:1:1: 'cell' stands where a '(' belongs");
        assertThat(faults("\n (sell a)"))
                .startsWith("p:2:2: a list of cell, tenant, others, router, keeper, move, leases or grantor");
        assertThat(faults("(cell a (group 0))")).isEqualTo("""
                p:1:9: one of (groups ...) (share ...) belongs here, not 'group'; did you mean 'groups'?
                p:1:1: a cell needs (groups N ...) with at least one group""");
        assertThat(faults("(cell a (groups 0))\n(cell b (groups 1 0))"))
                .isEqualTo("p:2:19: group 0 is in a cell already, at line 1");
        assertThat(faults("(cell a (groups 0) (share 70%))\n(cell b (groups 1) (share 40%))"))
                .isEqualTo("p:2:1: the shares of all cells add up to 110.0%, over 100%");
        assertThat(faults("(cell a (groups 0) (share 0.5))"))
                .isEqualTo("p:1:27: a share such as 25% belongs here; '0.5' has no unit");
        assertThat(faults("(cell a (groups 0))\n(tenant t (cell b))"))
                .isEqualTo("p:2:17: no cell 'b' is stated; did you mean 'a'?");
        assertThat(faults("(cell a (groups 0))\n(tenant t (cell a) (networks 10.0.0.0/8))\n"
                        + "(tenant u (cell a) (networks 10.2.0.0/16))"))
                .isEqualTo("p:3:30: 10.2.0.0/16 of u lies in 10.0.0.0/8 of t");
        assertThat(faults("(cell a (groups 0))\n(tenant t (cell a) (networks 10.0.0.1/8))"))
                .startsWith("p:2:30: a network such as 10.1.0.0/16 belongs here");
        assertThat(faults("(cell a (groups 0))\n(tenant t (cell a) (share 60%))\n" + "(tenant u (cell a) (share 60%))"))
                .isEqualTo("p:1:1: the shares of the tenants in a add up to 120.0%, over 100%");
        assertThat(faults("(cell a (groups 0))\n(others (spread 2))"))
                .isEqualTo("p:2:9: others can be spread over 1 to 1 cells");
    }

    @Test
    void keepersAndMovesAreCheckedAgainstTheRest() {
        assertThat(faults(GOOD.replace("(move acme south)", "(move acme north)")))
                .isEqualTo("p:10:1: acme lives in north as it is");
        assertThat(faults(GOOD.replace("(move acme south)", "(move beta north)")))
                .isEqualTo("p:10:1: beta is fixed and can't be moved");
        assertThat(faults(GOOD.replace("(move acme south)", "(move acmee south)")))
                .isEqualTo("p:10:1: no tenant 'acmee' is stated; did you mean 'acme'?");
        assertThat(faults(GOOD.replace("(groups 2 3)", "(groups 2)")))
                .isEqualTo("p:10:1: north has 2 groups and south has 1; a move needs as many");
        assertThat(faults(GOOD.replace("(lease 500ms)", "(lease 30s)")))
                .startsWith("p:9:15: the fence (4000ms) must not end before the lease and the expiry");
        assertThat(faults(GOOD.replace("(lease 500ms)", "(lease 500)")))
                .contains(
                        "p:8:81: a time with its unit, such as 500ms, 2s or 1min belongs here;" + " '500' has no unit");
        assertThat(faults(GOOD.replace("127.0.0.1:7070", "localhost:7070")))
                .startsWith("p:8:13: an address with a port belongs here");
    }

    @Test
    void leasesAndTheirGrantorsAreCheckedWhole() {
        String grantor = "(grantor k%d (raft k%d:7101) (at 127.0.0.1:720%d) (store \"s%d\"))\n";
        String three = grantor.replace("%d", "0") + grantor.replace("%d", "1") + grantor.replace("%d", "2");
        Plan.Leases leases = PlanReader.read(
                        "p",
                        "(leases (length 2s) (clock 50ms) (disk 8MB))\n"
                                + three.replace("(raft k1", "(gossip g1:7301) (raft k1"))
                .plan()
                .leases();
        assertThat(leases.durationNanos()).isEqualTo(2_000_000_000L);
        assertThat(leases.maxClockErrorNanos()).isEqualTo(50_000_000L);
        assertThat(leases.maxDiskBytes()).isEqualTo(8 << 20);
        assertThat(leases.server("k2").raftAddress()).isEqualTo("k2:7101");
        assertThat(leases.gossipSeeds()).containsExactly("g1:7301");
        assertThat(PlanReader.read("p", "(cell a (groups 0))").plan().leases()).isNull();
        assertThat(faults(three)).isEqualTo("p:1:1: grantors need (leases ...)");
        assertThat(faults("(leases)\n" + grantor.replace("%d", "0") + grantor.replace("%d", "1")))
                .isEqualTo("p:1:1: leases need 3 or 5 grantors, or 1 that bears no loss; here are 2");
        assertThat(faults("(leases (clock 2s))\n" + three)).startsWith("p:1:1: clock lies between 1ms and a quarter");
        assertThat(faults("(leases (length 1ms))\n" + three)).startsWith("p:1:1: length lies between 500ms and 1h");
        assertThat(faults("(leases (disk 8))\n" + three)).contains("'8' has no unit");
        assertThat(faults("(leases)\n" + three.replace("k1:7101", "k1"))).contains("a host with a port belongs here");
        assertThat(faults("(leases)\n" + three.replace(" (store \"s1\")", "")))
                .isEqualTo("p:3:1: a grantor needs (raft HOST:PORT), (at ADDRESS:PORT) and" + " (store \"FOLDER\")");
        assertThat(faults("(leases)\n" + three + three)).contains("grantor k0 is stated already, at line 2");
    }

    private static String faults(String text) {
        PlanReader.Result read = PlanReader.read("p", text);
        assertThat(read.plan()).isNull();
        return read.errors().stream().map(PlanError::toString).collect(Collectors.joining("\n"));
    }
}
