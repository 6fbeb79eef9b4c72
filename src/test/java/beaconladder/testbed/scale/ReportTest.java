package beaconladder.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.scale.Slope.Point;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;

class ReportTest {
    private static boolean flat(DoubleUnaryOperator value) {
        List<Point> points = DoubleStream.of(30, 60, 120, 240, 480)
                .mapToObj(size -> new Point(size, value.applyAsDouble(size)))
                .toList();
        Report report = new Report(new PrintWriter(new StringWriter()), 1, true, List.of("list"));
        boolean holds = report.flat("value", "B/s", 2 * Report.COUNTED, points);
        assertThat(report.held()).isEqualTo(holds);
        return holds;
    }

    /** Measured were 141, 113, 113, 113 and 113 B/s; the line through the first four predicted 87 for the last. */
    @Test
    void noiseAtOneSmallSizeDoesNotBreakTheFlatRule() {
        assertThat(flat(size -> size == 30 ? 141.31 : 113)).isTrue();
    }

    @Test
    void valueThatGrowsOrShrinksWithSizeIsNotFlat() {
        assertThat(flat(size -> 113 + 0.1 * size)).isFalse();
        assertThat(flat(size -> 113 * Math.pow(size / 30, 0.2))).isFalse();
        assertThat(flat(size -> 113 - 0.08 * size)).isFalse();
        assertThat(flat(size -> size == 480 ? 140 : 113)).isFalse();
        assertThat(flat(size -> 0)).isTrue();
    }
}
