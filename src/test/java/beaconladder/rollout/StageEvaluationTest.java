package beaconladder.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.rollout.RouterCounts.ClassCounts;
import beaconladder.rollout.StageEvaluation.Decision;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class StageEvaluationTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final StageEvaluation.AcceptanceLimits LIMITS =
            new StageEvaluation.AcceptanceLimits(0.03, 2, 200, SECOND_NANOS, 60 * SECOND_NANOS);

    /** Evaluates after each round, for 400 seeds: an unchanged program is stopped in at most 2% of the runs. */
    @Test
    void unchangedProgramIsSeldomStoppedHoweverOftenItIsEvaluated() {
        int stops = 0;
        for (int seed = 0; seed < 400; seed++) {
            stops += evaluate(seed, 0.02, 0.02, 0).decision() == Decision.STOP ? 1 : 0;
        }
        assertThat(stops).isLessThanOrEqualTo(8);
    }

    /**
     * Failures of a host hit both arms: in a tenth of the rounds all routers lose 40% of the requests, independently.
     */
    @Test
    void faultsInBothArmsDoNotStopTheRollout() {
        int stops = 0;
        for (int seed = 0; seed < 100; seed++) {
            stops += evaluate(seed, 0.02, 0.02, 0.1).decision() == Decision.STOP ? 1 : 0;
        }
        assertThat(stops).isLessThanOrEqualTo(2);
    }

    @Test
    void lossOfThreePercentInOneClassStopsTheRollout() {
        int stops = 0;
        for (int seed = 0; seed < 50; seed++) {
            stops += evaluate(seed, 0.05, 0.02, 0).decision() == Decision.STOP ? 1 : 0;
        }
        assertThat(stops).isGreaterThanOrEqualTo(48);
    }

    @Test
    void tooLittleTrafficWaitsAndStopsAfterTheMaximumDuration() {
        List<RouterCounts> few = List.of(counts("a", Map.of("read", new ClassCounts(40, 0, 40))));
        List<RouterCounts> many = List.of(counts("b", Map.of("read", new ClassCounts(9_000, 90, 9_000))));
        assertThat(StageEvaluation.of(few, many, 30 * SECOND_NANOS, LIMITS).decision())
                .isEqualTo(Decision.WAIT);
        assertThat(StageEvaluation.of(List.of(), many, 30 * SECOND_NANOS, LIMITS)
                        .decision())
                .isEqualTo(Decision.WAIT);
        assertThat(StageEvaluation.of(few, many, 61 * SECOND_NANOS, LIMITS))
                .satisfies(evaluation -> assertThat(evaluation.decision()).isEqualTo(Decision.STOP))
                .satisfies(evaluation ->
                        assertThat(evaluation.reason()).contains("undecided after the maximum duration: "));
        assertThat(StageEvaluation.of(many, many, SECOND_NANOS / 2, LIMITS).decision())
                .isEqualTo(Decision.WAIT);
    }

    @Test
    void doubledLatencyAndSilentRoutersStopTheRollout() {
        List<RouterCounts> slow = List.of(counts("a", Map.of("read", new ClassCounts(9_000, 90, 27_000))));
        List<RouterCounts> many = List.of(counts("b", Map.of("read", new ClassCounts(9_000, 90, 9_000))));
        assertThat(StageEvaluation.of(slow, many, 30 * SECOND_NANOS, LIMITS).reason())
                .startsWith("read: takes");
        List<RouterCounts> silent = List.of(counts("a", Map.of(StageEvaluation.RESPONDED, new ClassCounts(60, 40, 0))));
        List<RouterCounts> responding = List.of(counts(
                "b",
                Map.of(
                        StageEvaluation.RESPONDED,
                        new ClassCounts(600, 2, 0),
                        "read",
                        new ClassCounts(9_000, 90, 9_000))));
        assertThat(StageEvaluation.of(silent, responding, 30 * SECOND_NANOS, LIMITS)
                        .reason())
                .startsWith("(heard)");
    }

    @Test
    void countsAfterARestartOrAnotherVersionAreNotSubtracted() {
        RouterCounts before = new RouterCounts("a", "1", 7, Map.of("read", new ClassCounts(100, 3, 900)));
        RouterCounts after = new RouterCounts(
                "a", "1", 7, Map.of("read", new ClassCounts(150, 4, 1_300), "new", new ClassCounts(2, 0, 5)));
        assertThat(after.addedSince(before).byClass())
                .isEqualTo(Map.of("read", new ClassCounts(50, 1, 400), "new", new ClassCounts(2, 0, 5)));
        assertThat(new RouterCounts("a", "2", 7, after.byClass())
                        .addedSince(before)
                        .byClass())
                .isEqualTo(after.byClass());
        assertThat(new RouterCounts("a", "1", 8, after.byClass())
                        .addedSince(before)
                        .byClass())
                .isEqualTo(after.byClass());
    }

    /**
     * Simulates two classes over 60 rounds with two changed and ten unchanged routers, whose losses are independent.
     *
     * @param shockRate the share of rounds in which 40% of the requests are lost, at changed and unchanged routers
     */
    private static StageEvaluation evaluate(
            long seed, double changedLossRate, double controlLossRate, double shockRate) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Map<String, ClassCounts>> all = new TreeMap<>();
        StageEvaluation evaluation = null;
        for (int round = 1; round <= 60; round++) {
            List<RouterCounts> changedCounts = new ArrayList<>();
            List<RouterCounts> controlCounts = new ArrayList<>();
            boolean shock = random.nextDouble() < shockRate;
            for (int i = 0; i < 12; i++) {
                boolean isChanged = i < 2;
                String name = (isChanged ? "a" : "b") + i;
                Map<String, ClassCounts> counts = all.computeIfAbsent(name, n -> new TreeMap<>());
                counts.merge(
                        "read",
                        draw(random, shock ? 0.4 : isChanged ? changedLossRate : controlLossRate),
                        ClassCounts::plus);
                counts.merge("write", draw(random, shock ? 0.4 : 0.01), ClassCounts::plus);
                (isChanged ? changedCounts : controlCounts).add(counts(name, counts));
            }
            evaluation = StageEvaluation.of(changedCounts, controlCounts, round * SECOND_NANOS, LIMITS);
            if (evaluation.decision() == Decision.STOP) {
                return evaluation;
            }
        }
        return evaluation;
    }

    private static ClassCounts draw(SplittableRandom random, double lossRate) {
        int requests = 50 + random.nextInt(100);
        int lost = 0;
        for (int i = 0; i < requests; i++) {
            lost += random.nextDouble() < lossRate ? 1 : 0;
        }
        return new ClassCounts(requests, lost, requests);
    }

    private static RouterCounts counts(String name, Map<String, ClassCounts> byClass) {
        return new RouterCounts(name, "1", 1, Map.copyOf(byClass));
    }
}
