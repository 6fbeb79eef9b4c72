package beaconladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * In each window, all routers together send a host in slow start at most its budget of N requests plus an allowance for
 * random variation, 2 sqrt(N) + 2: with few and many routers, even and uneven traffic, small and large hosts, overload,
 * and the return of one host, four of five, a primary or a whole group.
 */
class SlowStartFleetTest {
    private static final int SEEDS = 10;
    /** The smallest and the largest multiple that deployments configure. */
    private static final double[] MULTIPLES = {1.5, 3};

    private static final long HOUR_MILLIS = 3_600_000;

    private record Case(String name, UnaryOperator<SlowStartFleet> scenario) {}

    private static final List<Case> CASES = List.of(
            new Case(
                    "a replica returns",
                    fleet -> fleet.takeDown(2).runFor(2_000).startHosts(2).runFor(10_000)),
            new Case(
                    "four of five are replaced",
                    fleet -> fleet.takeDown(1, 2, 3, 4)
                            .runFor(500)
                            .startHosts(1, 2, 3, 4)
                            .runFor(10_000)),
            new Case(
                    "the primary returns",
                    fleet -> fleet.takeDown(0).runFor(3_000).startHosts(0).runFor(10_000)),
            new Case(
                    "a whole group returns, with queued requests and twice the load",
                    fleet -> fleet.takeDown(0, 1, 2, 3, 4)
                            .runFor(300)
                            .multiplyLoad(2)
                            .startHosts(0, 1, 2, 3, 4)
                            .runFor(10_000)));

    @TestFactory
    Stream<DynamicTest> noWindowExceedsTheBudgetPlusRandomVariation() {
        List<DynamicTest> tests = new ArrayList<>();
        for (int routers : new int[] {1, 5, 20, 30, 100}) {
            for (Case each : CASES) {
                tests.add(DynamicTest.dynamicTest(each.name() + ", routers " + routers, () -> runCase(each, routers)));
            }
        }
        return tests.stream();
    }

    private static void runCase(Case each, int routers) {
        int slowStartSends = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            for (double multiple : MULTIPLES) {
                // Even traffic overloads small hosts; uneven traffic leaves larger hosts spare capacity.
                boolean uneven = seed % 2 == 1;
                SlowStartFleet fleet = new SlowStartFleet(
                                seed, routers, uneven, multiple, 1_000, uneven ? 0.7 : 1.2, uneven ? 3 : 1)
                        .runFor(12_000);
                each.scenario().apply(fleet);
                assertThat(fleet.maxBudgetShare)
                        .as("seed " + seed + ", multiple " + multiple)
                        .isLessThan(1);
                slowStartSends += fleet.slowStartSends;
            }
        }
        assertThat(slowStartSends).isPositive();
    }

    /**
     * By the clocks of these routers each host started long ago. The hosts' clock becomes known with the first answers,
     * and the first requests are sent before.
     */
    @TestFactory
    Stream<DynamicTest> routersThatStartWithClocksAheadKeepWithinTheBudget() {
        List<DynamicTest> tests = new ArrayList<>();
        for (int routers : new int[] {5, 30, 100}) {
            for (long aheadMillis : new long[] {15_000, HOUR_MILLIS}) {
                tests.add(DynamicTest.dynamicTest(
                        routers + " routers, " + aheadMillis + " ms ahead",
                        () -> runWithClocksAhead(routers, aheadMillis)));
            }
        }
        return tests.stream();
    }

    private static void runWithClocksAhead(int routers, long aheadMillis) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SlowStartFleet fleet = new SlowStartFleet(seed, routers, false, MULTIPLES[0], 1_000, 0.7, 1)
                    .runFor(2_000)
                    .takeDown(1, 2, 3, 4)
                    .runFor(500)
                    .startHosts(1, 2, 3, 4)
                    .runFor(300)
                    .restartRouters(aheadMillis)
                    .runFor(10_000);
            assertThat(fleet.maxBudgetShare).as("seed " + seed).isLessThan(1);
            assertThat(fleet.slowStartSends).isPositive();
        }
    }
}
