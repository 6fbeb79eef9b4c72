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
    private static final StageEvaluation.AcceptanceTerms TERMS =
            new StageEvaluation.AcceptanceTerms(0.03, 2, 200, SECOND_NANOS, 60 * SECOND_NANOS);

    /** Evaluated after each batch, for four hundred seeds: an unchanged program is seldom stopped. */
    @Test
    void unchangedProgramIsSeldomStoppedHoweverOftenItIsEvaluated() {
        int stops = 0;
        for (int seed = 0; seed < 400; seed++) {
            stops += evaluate(seed, 0.02, 0.02, 0).decision() == Decision.STOP ? 1 : 0;
        }
        assertThat(stops).isLessThanOrEqualTo(8);
    }

    /** A host fails now and then: for a while two in five requests are lost at all routers, independently. */
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
    void tooLittleTrafficWaitsAndStopsAtTheLongestTime() {
        List<RouterCounts> few = List.of(counts("a", Map.of("read", new ClassCounts(40, 0, 40))));
        List<RouterCounts> many = List.of(counts("b", Map.of("read", new ClassCounts(9_000, 90, 9_000))));
        assertThat(StageEvaluation.of(few, many, 30 * SECOND_NANOS, TERMS).decision())
                .isEqualTo(Decision.WAIT);
        assertThat(StageEvaluation.of(List.of(), many, 30 * SECOND_NANOS, TERMS).decision())
                .isEqualTo(Decision.WAIT);
        assertThat(StageEvaluation.of(few, many, 61 * SECOND_NANOS, TERMS))
                .satisfies(evaluation -> assertThat(evaluation.decision()).isEqualTo(Decision.STOP))
                .satisfies(evaluation -> assertThat(evaluation.reason()).contains("not judged in time"));
        assertThat(StageEvaluation.of(many, many, SECOND_NANOS / 2, TERMS).decision())
                .isEqualTo(Decision.WAIT);
    }

    @Test
    void doubledLatencyAndSilentRoutersStopTheRollout() {
        List<RouterCounts> slow = List.of(counts("a", Map.of("read", new ClassCounts(9_000, 90, 27_000))));
        List<RouterCounts> many = List.of(counts("b", Map.of("read", new ClassCounts(9_000, 90, 9_000))));
        assertThat(StageEvaluation.of(slow, many, 30 * SECOND_NANOS, TERMS).reason())
                .startsWith("read: takes");
        List<RouterCounts> silent = List.of(counts("a", Map.of(StageEvaluation.RESPONDED, new ClassCounts(60, 40, 0))));
        List<RouterCounts> responding = List.of(counts(
                "b",
                Map.of(
                        StageEvaluation.RESPONDED,
                        new ClassCounts(600, 2, 0),
                        "read",
                        new ClassCounts(9_000, 90, 9_000))));
        assertThat(StageEvaluation.of(silent, responding, 30 * SECOND_NANOS, TERMS)
                        .reason())
                .startsWith("(heard)");
    }

    @Test
    void countsAfterARestartOrAnotherVersionAreNotSubtracted() {
        RouterCounts before = new RouterCounts("a", "1", 7, Map.of("read", new ClassCounts(100, 3, 900)));
        RouterCounts after = new RouterCounts(
                "a", "1", 7, Map.of("read", new ClassCounts(150, 4, 1_300), "new", new ClassCounts(2, 0, 5)));
        assertThat(after.since(before).byClass())
                .isEqualTo(Map.of("read", new ClassCounts(50, 1, 400), "new", new ClassCounts(2, 0, 5)));
        assertThat(new RouterCounts("a", "2", 7, after.byClass()).since(before).byClass())
                .isEqualTo(after.byClass());
        assertThat(new RouterCounts("a", "1", 8, after.byClass()).since(before).byClass())
                .isEqualTo(after.byClass());
    }

    /**
     * Two classes over sixty rounds, two routers changed and ten not, each with independent losses.
     *
     * @param shocks the share of rounds in which two in five requests are lost, changed or not
     */
    private static StageEvaluation evaluate(long seed, double changed, double control, double shocks) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Map<String, ClassCounts>> all = new TreeMap<>();
        StageEvaluation evaluation = null;
        for (int round = 1; round <= 60; round++) {
            List<RouterCounts> with = new ArrayList<>();
            List<RouterCounts> without = new ArrayList<>();
            boolean shock = random.nextDouble() < shocks;
            for (int i = 0; i < 12; i++) {
                boolean isChanged = i < 2;
                String name = (isChanged ? "a" : "b") + i;
                Map<String, ClassCounts> counts = all.computeIfAbsent(name, n -> new TreeMap<>());
                counts.merge("read", draw(random, shock ? 0.4 : isChanged ? changed : control), ClassCounts::plus);
                counts.merge("write", draw(random, shock ? 0.4 : 0.01), ClassCounts::plus);
                (isChanged ? with : without).add(counts(name, counts));
            }
            evaluation = StageEvaluation.of(with, without, round * SECOND_NANOS, TERMS);
            if (evaluation.decision() == Decision.STOP) {
                return evaluation;
            }
        }
        return evaluation;
    }

    private static ClassCounts draw(SplittableRandom random, double share) {
        int requests = 50 + random.nextInt(100);
        int lost = 0;
        for (int i = 0; i < requests; i++) {
            lost += random.nextDouble() < share ? 1 : 0;
        }
        return new ClassCounts(requests, lost, requests);
    }

    private static RouterCounts counts(String name, Map<String, ClassCounts> byClass) {
        return new RouterCounts(name, "1", 1, Map.copyOf(byClass));
    }
}
