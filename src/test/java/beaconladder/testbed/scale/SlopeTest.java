package beaconladder.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import beaconladder.testbed.scale.Slope.Point;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;

class SlopeTest {
    private static List<Point> points(DoubleUnaryOperator value) {
        return DoubleStream.of(100, 200, 400, 800, 1_600)
                .mapToObj(x -> new Point(x, value.applyAsDouble(x)))
                .toList();
    }

    @Test
    void lineIsFittedAndPredicts() {
        Slope slope = Slope.of(points(x -> 7 + 3 * x));
        assertThat(slope.slope()).isCloseTo(3, within(1e-9));
        assertThat(slope.base()).isCloseTo(7, within(1e-6));
        assertThat(slope.residual()).isLessThan(1e-9);
        assertThat(slope.relativeError()).isLessThan(1e-9);
        assertThat(slope.predict(4_100)).isCloseTo(12_307, within(1e-6));
        assertThat(slope.extrapolationFactor(4_100)).isCloseTo(2.5625, within(1e-9));
        assertThat(slope.extrapolationFactor(800)).isEqualTo(1);
    }

    @Test
    void fitLeavesOutTheLargestPoint() {
        List<Point> bent = points(x -> x > 1_000 ? 10 * x : x);
        Slope slope = Slope.of(bent);
        assertThat(slope.slope()).isCloseTo(1, within(1e-9));
        assertThat(slope.relativeError()).isCloseTo(0.9, within(1e-9));
        assertThat(slope.holds(Report.TIMED)).isFalse();
    }

    @Test
    void growthFasterThanLinearIsRejected() {
        assertThat(Slope.of(points(x -> x * x)).holds(Report.TIMED)).isFalse();
        assertThat(Slope.of(points(x -> 50_000 + x * x)).holds(Report.TIMED)).isFalse();
        assertThat(Slope.of(points(x -> Math.pow(2, x / 200))).holds(2 * Report.TIMED))
                .isFalse();
        assertThat(Slope.of(points(x -> x * Math.sqrt(x))).holds(Report.COUNTED))
                .isFalse();
    }

    @Test
    void quadraticGrowthIsRejectedForAnyAllowedError() {
        assertThat(Slope.of(points(x -> x * x)).holds(10)).isFalse();
        assertThat(Slope.of(points(x -> 50_000 + x * x)).holds(10)).isFalse();
        assertThat(Slope.of(points(x -> x > 1_000 ? 1.5 * x : x)).holds(2 * Report.TIMED))
                .isTrue();
    }

    @Test
    void curveThatLevelsOffIsRejected() {
        assertThat(Slope.of(points(x -> Math.min(x, 800))).holds(Report.TIMED)).isFalse();
    }

    @Test
    void orderOfThePointsDoesNotMatter() {
        List<Point> reversed = new java.util.ArrayList<>(points(x -> 2 * x));
        java.util.Collections.reverse(reversed);
        assertThat(Slope.of(reversed)).isEqualTo(Slope.of(points(x -> 2 * x)));
    }

    @Test
    void tooFewOrRepeatedSizesAreRejected() {
        assertThatThrownBy(() -> Slope.of(points(x -> x).subList(0, 4))).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> Slope.of(
                        List.of(new Point(1, 1), new Point(1, 1), new Point(2, 2), new Point(3, 3), new Point(4, 4))))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
