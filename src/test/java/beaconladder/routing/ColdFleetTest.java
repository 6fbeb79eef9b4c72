package beaconladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * What all routers together send to a warming-up host stays under its budget of N calls and what is chance, 2 root of N
 * and 2 more, in each window: with few routers and many, even and uneven traffic, small hosts and large ones, more work
 * than all hosts can do, one host that returns, four of five, a primary, a whole group.
 */
class ColdFleetTest {
    private static final int SEEDS = 10;
    /** The tightest that the deployments state, and the widest. */
    private static final double[] MULTIPLES = {1.5, 3};

    private static final long HOUR_MILLIS = 3_600_000;

    private record Case(String name, UnaryOperator<ColdFleet> plays) {}

    private static final List<Case> CASES = List.of(
            new Case("a replica returns", f -> f.lose(2).run(2_000).back(2).run(10_000)),
            new Case(
                    "four of five are replaced",
                    f -> f.lose(1, 2, 3, 4).run(500).back(1, 2, 3, 4).run(10_000)),
            new Case("the primary returns", f -> f.lose(0).run(3_000).back(0).run(10_000)),
            new Case(
                    "a group returns whole, with txns waiting and twice the load",
                    f -> f.lose(0, 1, 2, 3, 4)
                            .run(300)
                            .times(2)
                            .back(0, 1, 2, 3, 4)
                            .run(10_000)));

    @TestFactory
    Stream<DynamicTest> noWindowHoldsMoreThanTheBudgetAndChance() {
        List<DynamicTest> tests = new ArrayList<>();
        for (int routers : new int[] {1, 5, 20, 30, 100}) {
            for (Case each : CASES) {
                tests.add(DynamicTest.dynamicTest(each.name() + ", routers " + routers, () -> plays(each, routers)));
            }
        }
        return tests.stream();
    }

    private static void plays(Case each, int routers) {
        int atCold = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            for (double multiple : MULTIPLES) {
                // Even ones before small hosts at full load, uneven ones before larger ones with less.
                boolean uneven = seed % 2 == 1;
                ColdFleet fleet = new ColdFleet(
                                seed, routers, uneven, multiple, 1_000, uneven ? 0.7 : 1.2, uneven ? 3 : 1)
                        .run(12_000);
                each.plays().apply(fleet);
                assertThat(fleet.worst)
                        .as("seed " + seed + ", multiple " + multiple)
                        .isLessThan(1);
                atCold += fleet.atCold;
            }
        }
        assertThat(atCold).isPositive();
    }

    /**
     * Their clocks say that each host started long ago. What the hosts say of the time comes with their answers, and
     * the first requests go out before.
     */
    @TestFactory
    Stream<DynamicTest> routersThatStartWithClocksAheadKeepToTheBudget() {
        List<DynamicTest> tests = new ArrayList<>();
        for (int routers : new int[] {5, 30, 100}) {
            for (long ahead : new long[] {15_000, HOUR_MILLIS}) {
                tests.add(DynamicTest.dynamicTest(
                        routers + " routers, " + ahead + " ms ahead", () -> startsAhead(routers, ahead)));
            }
        }
        return tests.stream();
    }

    private static void startsAhead(int routers, long ahead) {
        for (int seed = 0; seed < SEEDS; seed++) {
            ColdFleet fleet = new ColdFleet(seed, routers, false, MULTIPLES[0], 1_000, 0.7, 1)
                    .run(2_000)
                    .lose(1, 2, 3, 4)
                    .run(500)
                    .back(1, 2, 3, 4)
                    .run(300)
                    .restartAll(ahead)
                    .run(10_000);
            assertThat(fleet.worst).as("seed " + seed).isLessThan(1);
            assertThat(fleet.atCold).isPositive();
        }
    }
}
