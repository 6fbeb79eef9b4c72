package beaconladder.cells;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.plan.PlanReader;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class PlacementPlannerTest {
    private static PlacementProposal propose(String plan, int maxMigrations) {
        return PlacementPlanner.propose(
                PlacementProblem.of(PlanReader.read("p", plan).plan()), maxMigrations, 5, 1);
    }

    private static String migrations(PlacementProposal proposal) {
        return proposal.migrations().stream()
                .map(migration -> migration.tenant() + ">" + migration.toCell())
                .sorted()
                .collect(Collectors.joining(" "));
    }

    /** No single migration lowers the cost of this plan: two tenants have to swap cells. */
    @Test
    void theSolverFindsASwapThatNoSingleMigrationLeadsTo() {
        String plan = """
                (cell a (groups 0)) (cell b (groups 1))
                (tenant a1 (cell a) (load 6txns/s)) (tenant a2 (cell a) (load 4txns/s))
                (tenant b1 (cell b) (load 5txns/s)) (tenant b2 (cell b) (load 3txns/s))
                (tenant a3 (cell a) (load 1txns/s) (fixed)) (tenant b3 (cell b) (load 1txns/s) (fixed))
                """;
        PlacementProposal proposal = propose(plan, 4);
        assertThat(proposal.peakAfter()).isEqualTo(1_000);
        assertThat(proposal.costAfter()).isLessThan(proposal.costBefore());
        assertThat(proposal.migrations()).hasSize(2);
        assertThat(proposal.migrations())
                .noneMatch(migration -> migration.tenant().endsWith("3"));
    }

    @Test
    void aLostCellIsEmptiedOfAllTenantsEvenFixedOnesOrThereIsNoProposal() {
        String plan = """
                (cell a (groups 0)) (cell b (groups 1)) (cell c (groups 2))
                (tenant a1 (cell a) (load 3txns/s)) (tenant a2 (cell a) (load 2txns/s))
                (tenant a3 (cell a) (fixed))
                (tenant b1 (cell b) (load 3txns/s)) (tenant c1 (cell c) (load 3txns/s))
                """;
        PlacementProblem problemWithoutCell =
                PlacementProblem.of(PlanReader.read("p", plan).plan()).withoutCell("a");
        PlacementProposal proposal = PlacementPlanner.propose(problemWithoutCell, 5, 5, 1);
        assertThat(proposal.migrations()).extracting(ProposedMigration::tenant).contains("a1", "a2", "a3");
        assertThat(proposal.migrations())
                .noneMatch(migration -> migration.toCell().equals("a"));
        assertThat(PlacementPlanner.propose(problemWithoutCell, 2, 5, 1).found())
                .isFalse();
        assertThat(PlacementPlanner.propose(problemWithoutCell, 2, 5, 1).summary())
                .startsWith("no proposal");
    }

    @Test
    void pairsToSeparateAreSeparatedAndAGoodPlacementIsKept() {
        String plan = """
                (cell a (groups 0)) (cell b (groups 1)) (cell c (groups 2))
                (tenant x (cell a) (apart-from y)) (tenant y (cell a)) (tenant z (cell b))
                """;
        PlacementProposal proposal = propose(plan, 3);
        assertThat(migrations(proposal)).isIn("x>c", "y>c");
        assertThat(proposal.optimal()).isTrue();
        assertThat(proposal.survivesCellLoss()).isTrue();
        assertThat(migrations(propose(plan, 0))).isEmpty();
        assertThat(migrations(propose(plan.replace("(tenant y (cell a))", "(tenant y (cell c))"), 3)))
                .isEmpty();
        assertThat(propose(plan, 3)).isEqualTo(proposal);
    }
}
