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
    void aLineIsFoundAndForetells() {
        Slope slope = Slope.of(points(x -> 7 + 3 * x));
        assertThat(slope.slope()).isCloseTo(3, within(1e-9));
        assertThat(slope.base()).isCloseTo(7, within(1e-6));
        assertThat(slope.residual()).isLessThan(1e-9);
        assertThat(slope.miss()).isLessThan(1e-9);
        assertThat(slope.at(4_100)).isCloseTo(12_307, within(1e-6));
        assertThat(slope.beyond(4_100)).isCloseTo(2.5625, within(1e-9));
        assertThat(slope.beyond(800)).isEqualTo(1);
    }

    @Test
    void theFitDoesNotSeeThePointThatChecksIt() {
        List<Point> bent = points(x -> x > 1_000 ? 10 * x : x);
        Slope slope = Slope.of(bent);
        assertThat(slope.slope()).isCloseTo(1, within(1e-9));
        assertThat(slope.miss()).isCloseTo(0.9, within(1e-9));
        assertThat(slope.holds(Report.TIMED)).isFalse();
    }

    @Test
    void whatGrowsFasterThanALineIsRefused() {
        assertThat(Slope.of(points(x -> x * x)).holds(Report.TIMED)).isFalse();
        assertThat(Slope.of(points(x -> 50_000 + x * x)).holds(Report.TIMED)).isFalse();
        assertThat(Slope.of(points(x -> Math.pow(2, x / 200))).holds(2 * Report.TIMED))
                .isFalse();
        assertThat(Slope.of(points(x -> x * Math.sqrt(x))).holds(Report.COUNTED))
                .isFalse();
    }

    @Test
    void aSquareIsRefusedWhateverNoiseIsAllowed() {
        assertThat(Slope.of(points(x -> x * x)).holds(10)).isFalse();
        assertThat(Slope.of(points(x -> 50_000 + x * x)).holds(10)).isFalse();
        assertThat(Slope.of(points(x -> x > 1_000 ? 1.5 * x : x)).holds(2 * Report.TIMED))
                .isTrue();
    }

    @Test
    void whatLevelsOffIsRefusedToo() {
        assertThat(Slope.of(points(x -> Math.min(x, 800))).holds(Report.TIMED)).isFalse();
    }

    @Test
    void theOrderOfThePointsDoesNotCount() {
        List<Point> turned = new java.util.ArrayList<>(points(x -> 2 * x));
        java.util.Collections.reverse(turned);
        assertThat(Slope.of(turned)).isEqualTo(Slope.of(points(x -> 2 * x)));
    }

    @Test
    void fewerSizesAreNoSlope() {
        assertThatThrownBy(() -> Slope.of(points(x -> x).subList(0, 4))).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> Slope.of(
                        List.of(new Point(1, 1), new Point(1, 1), new Point(2, 2), new Point(3, 3), new Point(4, 4))))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
