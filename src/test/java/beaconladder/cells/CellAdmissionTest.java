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
    private static final String COORDINATOR =
            "(keeper (at 127.0.0.1:1) (discovery 127.0.0.1:2) (store \"x\") (lease 1s) (expiry 2s)" + " (fence 5s))";

    private static StaticPlacement placementOf(String plan) {
        PlanReader.Result read = PlanReader.read("p", plan);
        assertThat(read.errors()).isEmpty();
        return new StaticPlacement(read.plan());
    }

    private static CellAdmission admissionOf(String plan) {
        return new CellAdmission("n0", placementOf(plan), new RouterCapacity(40, 40, 1 << 20));
    }

    private static String admit(CellAdmission admission, String tenant, int group, boolean write, long nowNanos) {
        AdmissionDecision decision = admission.admit(
                new AdmissionRequest(tenant, 7, group, write, 1, 100, null, nowNanos, nowNanos + 2_000 * MS), nowNanos);
        if (decision.permit() != null) {
            admission.release(decision.permit());
        }
        return decision.kind()
                + (decision.permit() == null
                        ? " " + decision.reason()
                        : " " + decision.permit().group());
    }

    @Test
    void aRequestIsRoutedToTheSameSlotOfItsTenantsCellWhateverGroupItNames() {
        CellAdmission admission = admissionOf(CELLS + "(tenant t (cell b)) (router n1 (serves a))");
        assertThat(admit(admission, "t", 1, false, NOW)).isEqualTo("ADMIT 3");
        assertThat(admit(admission, "t", 2, true, NOW)).isEqualTo("ADMIT 2");
        assertThat(admit(admission, "t", 9, true, NOW)).isEqualTo("INVALID group 9 is in no cell");
        assertThat(admit(admission, "x", 0, true, NOW)).isEqualTo("INVALID no cell takes tenant x");
        CellAdmission otherRouter =
                new CellAdmission("n1", admission.staticPlacement(), new RouterCapacity(40, 40, 1 << 20));
        assertThat(admit(otherRouter, "t", 0, true, NOW)).isEqualTo("REJECT this router does not serve cell b");
    }

    @Test
    void clientsOutsideATenantsNetworksAreRejected() throws Exception {
        CellAdmission admission = admissionOf(CELLS + "(tenant t (cell a) (networks 10.1.0.0/16 2001:db8::/32))");
        for (String[] each : new String[][] {
            {"10.1.2.3", "ADMIT"}, {"10.2.0.1", "INVALID"}, {"2001:db8::5", "ADMIT"}, {"2001:db9::5", "INVALID"}
        }) {
            AdmissionDecision decision = admission.admit(
                    new AdmissionRequest("t", 1, 0, false, 1, 10, InetAddress.getByName(each[0]), NOW, NOW + MS), NOW);
            assertThat(decision.kind()).as(each[0]).hasToString(each[1]);
        }
    }

    @Test
    void withoutALeaseOnlyFixedTenantsAreServed() {
        CellAdmission admission =
                admissionOf(CELLS + COORDINATOR + "(tenant t (cell a)) (tenant f (cell a) (fixed)) (others)");
        assertThat(admit(admission, "t", 0, true, NOW)).startsWith("REJECT the lease on the placement is over");
        assertThat(admit(admission, "f", 0, true, NOW)).isEqualTo("ADMIT 0");
        String fingerprint = admission.staticPlacement().fingerprint();
        admission.applyPlacement(new PlacementTable(
                3, NOW + 1_000 * MS, fingerprint, Map.of("t", new TenantPlacement("a", true, true, false, List.of()))));
        assertThat(admit(admission, "t", 0, true, NOW)).isEqualTo("ADMIT 0");
        assertThat(admit(admission, "o", 0, true, NOW)).startsWith("ADMIT");
        assertThat(admit(admission, "t", 0, true, NOW + 990 * MS)).startsWith("REJECT the lease");
        // An older placement is ignored even if its lease is longer.
        admission.applyPlacement(new PlacementTable(2, NOW + 9_000 * MS, fingerprint, Map.of()));
        assertThat(admit(admission, "t", 0, true, NOW + 990 * MS)).startsWith("REJECT the lease");
        admission.applyPlacement(new PlacementTable(
                4, NOW + 9_000 * MS, "other", Map.of("t", new TenantPlacement("b", true, true, false, List.of()))));
        assertThat(admit(admission, "t", 0, true, NOW)).isEqualTo("ADMIT 2");
        assertThat(admit(admission, "o", 0, true, NOW))
                .isEqualTo("REJECT this router's plan differs from the keeper's");
    }

    @Test
    void aFencedWriteIsQueuedForHalfOfItsTimeAndReadsAreAdmittedUntilSealed() {
        CellAdmission admission = admissionOf(CELLS + COORDINATOR + "(tenant t (cell a))");
        String fingerprint = admission.staticPlacement().fingerprint();
        admission.applyPlacement(new PlacementTable(
                1, NOW + 9_000 * MS, fingerprint, Map.of("t", new TenantPlacement("a", false, true, true, List.of()))));
        AdmissionDecision queued =
                admission.admit(new AdmissionRequest("t", 7, 0, true, 1, 10, null, NOW, NOW + 2_000 * MS), NOW);
        assertThat(queued.kind()).isEqualTo(AdmissionDecision.Kind.QUEUE);
        assertThat(queued.recheckByNanos()).isEqualTo(NOW + 1_000 * MS);
        assertThat(admission.inFlight(0)).isEqualTo(1);
        assertThat(admit(admission, "t", 0, false, NOW)).isEqualTo("ADMIT 0");
        admission.applyPlacement(new PlacementTable(
                2,
                NOW + 9_000 * MS,
                fingerprint,
                Map.of("t", new TenantPlacement("a", false, false, true, List.of()))));
        assertThat(admit(admission, "t", 0, false, NOW)).startsWith("QUEUE");
        assertThat(admission.recheck(queued.permit(), NOW + 999 * MS).kind()).isEqualTo(AdmissionDecision.Kind.QUEUE);
        AdmissionDecision rejected = admission.recheck(queued.permit(), NOW + 1_000 * MS);
        assertThat(rejected.kind() + " " + rejected.reason()).isEqualTo("REJECT t is being moved");
        assertThat(admission.inFlight(0)).isZero();
        // After the migration, requests to the new cell require members at or above the floor.
        admission.applyPlacement(new PlacementTable(
                3,
                NOW + 9_000 * MS,
                fingerprint,
                Map.of("t", new TenantPlacement("b", true, true, false, List.of(NOW + 5 * MS, NOW + 6 * MS)))));
        AdmissionDecision admitted =
                admission.admit(new AdmissionRequest("t", 7, 1, false, 1, 10, null, NOW, NOW + 2_000 * MS), NOW);
        assertThat(admitted.permit().group()).isEqualTo(3);
        assertThat(admitted.permit().floor()).isEqualTo(NOW + 6 * MS);
    }

    @Test
    void aPlanThatChangesAPlacementWithoutAMigrationIsIncompatible() {
        CellAdmission admission = admissionOf(CELLS + "(tenant t (cell a))");
        assertThat(admission.incompatibility(placementOf(CELLS + "(tenant t (cell b))")))
                .startsWith("t changes its cell from a to b; that is a move");
        assertThat(admission.incompatibility(placementOf("(cell a (groups 0 1))")))
                .contains("needs a restart");
        assertThat(admission.incompatibility(placementOf("(cell a (groups 0 2)) (cell b (groups 1 3))")))
                .contains("cell a differs");
        assertThat(admission.incompatibility(placementOf(CELLS + "(tenant t (cell a) (share 5%)) (tenant u (cell b))")))
                .isNull();
    }

    @Test
    void anAddedCellGetsItsShareAndFewOtherSessionsMove() {
        StringBuilder cells = new StringBuilder("(others (spread 2))");
        for (int i = 0; i < 16; i++) {
            cells.append("(cell c").append(i).append(" (groups ").append(i).append("))");
        }
        StaticPlacement before = placementOf(cells.toString());
        StaticPlacement after = placementOf(cells + "(cell c16 (groups 16))");
        int moved = 0;
        Set<String> pairs = new HashSet<>();
        int[] tenantsByCell = new int[16];
        for (int i = 0; i < 4_000; i++) {
            int homeCell = before.homeCell("tenant" + i, 0x9e3779b97f4a7c15L * i);
            tenantsByCell[homeCell]++;
            moved += after.homeCell("tenant" + i, 0x9e3779b97f4a7c15L * i) != homeCell ? 1 : 0;
            pairs.add(java.util.Arrays.toString(before.shuffleShard("tenant" + i)));
        }
        // The new cell's fair share is one in 17 (235). Others move because the new cell replaces one in their shard.
        assertThat(moved).isBetween(235, 420);
        assertThat(java.util.Arrays.stream(tenantsByCell).allMatch(n -> n > 180 && n < 320))
                .isTrue();
        assertThat(pairs).hasSize(16 * 15);
    }
}
