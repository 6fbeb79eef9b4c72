package beaconladder.cells;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.plan.PlanReader;
import java.net.InetAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CellAdmissionTest {
    private static final long MS = 1_000_000;
    private static final long NOW = 1_000_000 * MS;
    private static final String CELLS = "(cell a (groups 0 1)) (cell b (groups 2 3))\n";
    private static final String KEEPER =
            "(keeper (at 127.0.0.1:1) (discovery 127.0.0.1:2) (store \"x\") (lease 1s) (expiry 2s)" + " (fence 5s))";

    private static StaticPlacement territory(String plan) {
        PlanReader.Result read = PlanReader.read("p", plan);
        assertThat(read.faults()).isEmpty();
        return new StaticPlacement(read.plan());
    }

    private static CellAdmission gate(String plan) {
        return new CellAdmission("n0", territory(plan), new CellAdmission.Room(40, 40, 1 << 20));
    }

    private static String ask(CellAdmission gate, String tenant, int group, boolean write, long now) {
        CellAdmission.Answer answer = gate.admit(tenant, 7, group, write, 1, 100, null, now, now + 2_000 * MS, now);
        if (answer.pass() != null) {
            gate.left(answer.pass());
        }
        return answer.kind()
                + (answer.pass() == null
                        ? " " + answer.reason()
                        : " " + answer.pass().group());
    }

    @Test
    void aTxnGoesToTheSameSlotOfItsTenantsCellWhateverGroupItNames() {
        CellAdmission gate = gate(CELLS + "(tenant t (cell b)) (router n1 (serves a))");
        assertThat(ask(gate, "t", 1, false, NOW)).isEqualTo("ADMIT 3");
        assertThat(ask(gate, "t", 2, true, NOW)).isEqualTo("ADMIT 2");
        assertThat(ask(gate, "t", 9, true, NOW)).isEqualTo("REFUSE group 9 is in no cell");
        assertThat(ask(gate, "x", 0, true, NOW)).isEqualTo("REFUSE no cell takes tenant x");
        CellAdmission other = new CellAdmission("n1", gate.territory(), new CellAdmission.Room(40, 40, 1 << 20));
        assertThat(ask(other, "t", 0, true, NOW)).isEqualTo("DECLINE this router does not serve cell b");
    }

    @Test
    void clientsSpeakForATenantFromItsNetworksAlone() throws Exception {
        CellAdmission gate = gate(CELLS + "(tenant t (cell a) (networks 10.1.0.0/16 2001:db8::/32))");
        for (String[] each : new String[][] {
            {"10.1.2.3", "ADMIT"}, {"10.2.0.1", "REFUSE"}, {"2001:db8::5", "ADMIT"}, {"2001:db9::5", "REFUSE"}
        }) {
            CellAdmission.Answer answer =
                    gate.admit("t", 1, 0, false, 1, 10, InetAddress.getByName(each[0]), NOW, NOW + MS, NOW);
            assertThat(answer.kind()).as(each[0]).hasToString(each[1]);
        }
    }

    @Test
    void withoutALeaseOnlyWhatNeverMovesIsServed() {
        CellAdmission gate = gate(CELLS + KEEPER + "(tenant t (cell a)) (tenant f (cell a) (fixed)) (others)");
        assertThat(ask(gate, "t", 0, true, NOW)).startsWith("DECLINE the lease on the placement is over");
        assertThat(ask(gate, "f", 0, true, NOW)).isEqualTo("ADMIT 0");
        String basis = gate.territory().basis();
        gate.placed(new PlacementTable(
                3, NOW + 1_000 * MS, basis, Map.of("t", new TenantPlacement("a", true, true, false, List.of()))));
        assertThat(ask(gate, "t", 0, true, NOW)).isEqualTo("ADMIT 0");
        assertThat(ask(gate, "o", 0, true, NOW)).startsWith("ADMIT");
        assertThat(ask(gate, "t", 0, true, NOW + 990 * MS)).startsWith("DECLINE the lease");
        // An older word, or one for a shorter time, changes nothing.
        gate.placed(new PlacementTable(2, NOW + 9_000 * MS, basis, Map.of()));
        assertThat(ask(gate, "t", 0, true, NOW + 990 * MS)).startsWith("DECLINE the lease");
        gate.placed(new PlacementTable(
                4, NOW + 9_000 * MS, "other", Map.of("t", new TenantPlacement("b", true, true, false, List.of()))));
        assertThat(ask(gate, "t", 0, true, NOW)).isEqualTo("ADMIT 2");
        assertThat(ask(gate, "o", 0, true, NOW)).isEqualTo("DECLINE this router's plan differs from the keeper's");
    }

    @Test
    void aWriteWaitsAtTheFenceUpToHalfOfItsTimeAndReadsGoOnUntilItIsSealed() {
        CellAdmission gate = gate(CELLS + KEEPER + "(tenant t (cell a))");
        String basis = gate.territory().basis();
        gate.placed(new PlacementTable(
                1, NOW + 9_000 * MS, basis, Map.of("t", new TenantPlacement("a", false, true, true, List.of()))));
        CellAdmission.Answer held = gate.admit("t", 7, 0, true, 1, 10, null, NOW, NOW + 2_000 * MS, NOW);
        assertThat(held.kind()).isEqualTo(CellAdmission.Kind.HOLD);
        assertThat(held.until()).isEqualTo(NOW + 1_000 * MS);
        assertThat(gate.inHand(0)).isEqualTo(1);
        assertThat(ask(gate, "t", 0, false, NOW)).isEqualTo("ADMIT 0");
        gate.placed(new PlacementTable(
                2, NOW + 9_000 * MS, basis, Map.of("t", new TenantPlacement("a", false, false, true, List.of()))));
        assertThat(ask(gate, "t", 0, false, NOW)).startsWith("HOLD");
        assertThat(gate.again(held.pass(), NOW + 999 * MS).kind()).isEqualTo(CellAdmission.Kind.HOLD);
        CellAdmission.Answer end = gate.again(held.pass(), NOW + 1_000 * MS);
        assertThat(end.kind() + " " + end.reason()).isEqualTo("DECLINE t is being moved");
        assertThat(gate.inHand(0)).isZero();
        // Once it has moved, reads there wait for members that have the copy.
        gate.placed(new PlacementTable(
                3,
                NOW + 9_000 * MS,
                basis,
                Map.of("t", new TenantPlacement("b", true, true, false, List.of(NOW + 5 * MS, NOW + 6 * MS)))));
        CellAdmission.Answer there = gate.admit("t", 7, 1, false, 1, 10, null, NOW, NOW + 2_000 * MS, NOW);
        assertThat(there.pass().group()).isEqualTo(3);
        assertThat(there.pass().floor()).isEqualTo(NOW + 6 * MS);
    }

    @Test
    void aPlanThatWouldMoveWithoutAMoveIsNotTaken() {
        CellAdmission gate = gate(CELLS + "(tenant t (cell a))");
        assertThat(gate.objection(territory(CELLS + "(tenant t (cell b))")))
                .startsWith("t changes its cell from a to b; that is a move");
        assertThat(gate.objection(territory("(cell a (groups 0 1))"))).contains("needs a restart");
        assertThat(gate.objection(territory("(cell a (groups 0 2)) (cell b (groups 1 3))")))
                .contains("cell a differs");
        assertThat(gate.objection(territory(CELLS + "(tenant t (cell a) (share 5%)) (tenant u (cell b))")))
                .isNull();
    }

    @Test
    void aCellThatJoinsTakesItsPartAndLeavesTheRestWhereItIs() {
        StringBuilder cells = new StringBuilder("(others (spread 2))");
        for (int i = 0; i < 16; i++) {
            cells.append("(cell c").append(i).append(" (groups ").append(i).append("))");
        }
        StaticPlacement before = territory(cells.toString());
        StaticPlacement after = territory(cells + "(cell c16 (groups 16))");
        int moved = 0;
        Set<String> pairs = new HashSet<>();
        int[] of = new int[16];
        for (int i = 0; i < 4_000; i++) {
            int home = before.home("tenant" + i, 0x9e3779b97f4a7c15L * i);
            of[home]++;
            moved += after.home("tenant" + i, 0x9e3779b97f4a7c15L * i) != home ? 1 : 0;
            pairs.add(java.util.Arrays.toString(before.subset("tenant" + i)));
        }
        // One in seventeen is its part: 235; the rest are keys whose tenant has the new cell in another's
        // place.
        assertThat(moved).isBetween(235, 420);
        assertThat(java.util.Arrays.stream(of).allMatch(n -> n > 180 && n < 320))
                .isTrue();
        assertThat(pairs).hasSize(16 * 15);
    }
}
