package beaconladder.testbed.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Prints the results of a run as they arrive and collects them in one JSON object, with whether every check held. */
final class Report {
    /** The allowed relative prediction error for counts of bytes and messages. */
    static final double COUNTED = 0.10;
    /** The allowed relative prediction error for memory; processor time on a shared machine gets twice as much. */
    static final double TIMED = 0.35;

    private final PrintWriter out;
    private final ObjectNode root = new ObjectMapper().createObjectNode();
    private final ObjectNode slopes;
    private final ObjectNode rules;
    private final ObjectNode figures;
    private boolean held = true;

    Report(PrintWriter out, long seed, boolean small, List<String> parts) {
        this.out = out;
        root.put("rehearsal", "scale").put("seed", seed).put("small", small).put("parts", String.join(",", parts));
        slopes = root.putObject("slopes");
        rules = root.putObject("rules");
        figures = root.putObject("figures");
    }

    void print(String line) {
        out.println(line);
        out.flush();
    }

    /** Reports a value without checking it. */
    void figure(String name, double value) {
        figures.put(name, rounded(value));
        print(String.format(Locale.ROOT, "  %s: %.4g", name, value));
    }

    /** Reports the percentiles of a histogram, in the unit that its name states. */
    void times(String name, Histogram times) {
        if (times.getTotalCount() == 0) {
            print("  " + name + ": none");
            return;
        }
        ObjectNode node = figures.putObject(name);
        node.put("count", times.getTotalCount());
        double[] percentiles = {50, 99, 99.9, 100};
        for (double percentile : percentiles) {
            node.put(
                    "p" + String.format(Locale.ROOT, "%s", percentile).replace(".0", ""),
                    times.getValueAtPercentile(percentile));
        }
        print("  " + name + ": " + node);
    }

    /**
     * Fits a line to the points and checks its prediction.
     *
     * @param target the size that the value is extrapolated to
     * @param allowed the allowed relative error at the point that was left out of the fit
     */
    Slope slope(String name, String unit, String sizeUnit, double target, double allowed, List<Slope.Point> points) {
        Slope slope = Slope.of(points);
        boolean holds = slope.holds(allowed);
        held &= holds;
        ObjectNode node = slopes.putObject(name);
        node.put("unit", unit).put("of", sizeUnit);
        for (Slope.Point point : points) {
            node.withArray("points").addArray().add(point.size()).add(rounded(point.value()));
        }
        node.put("base", rounded(slope.base()))
                .put("slope", rounded(slope.slope()))
                .put("residual", rounded(slope.residual()))
                .put("left_out", slope.leftOut().size())
                .put("foretold", rounded(slope.predict(slope.leftOut().size())))
                .put("miss", rounded(slope.relativeError()))
                .put("allowed", allowed)
                .put("target", target)
                .put("beyond", rounded(slope.extrapolationFactor(target)))
                .put("at_target", rounded(slope.predict(target)))
                .put("held", holds);
        String formattedPoints = points.stream()
                .map(p -> String.format(Locale.ROOT, "%.4g: %.4g", p.size(), p.value()))
                .collect(Collectors.joining(", "));
        print(String.format(
                Locale.ROOT,
                "  %s (%s by %s): %s; line %.4g + %.4g each, residual %.1f%%;"
                        + " left out %.4g: foretold %.4g, miss %.1f%% of at most %.0f%%%s; at %.4g: %.4g,"
                        + " %.1f times beyond",
                name,
                unit,
                sizeUnit,
                formattedPoints,
                slope.base(),
                slope.slope(),
                100 * slope.residual(),
                slope.leftOut().value(),
                slope.predict(slope.leftOut().size()),
                100 * slope.relativeError(),
                100 * allowed,
                holds ? "" : " BROKEN",
                target,
                slope.predict(target),
                slope.extrapolationFactor(target)));
        return slope;
    }

    /**
     * Checks that a value does not grow with size: the value at the largest size deviates from the median of the others
     * by at most this share, in either direction. A line fitted to constant values would follow whichever of them is
     * off by chance.
     */
    boolean flat(String name, String unit, double allowed, List<Slope.Point> points) {
        if (points.size() < Slope.MIN_SIZES) {
            throw new IllegalArgumentException("a flat value needs " + Slope.MIN_SIZES + " sizes");
        }
        List<Slope.Point> bySize = points.stream()
                .sorted(Comparator.comparingDouble(Slope.Point::size))
                .toList();
        Slope.Point largest = bySize.get(bySize.size() - 1);
        double[] others = bySize.stream()
                .limit(bySize.size() - 1L)
                .mapToDouble(Slope.Point::value)
                .sorted()
                .toArray();
        double median = (others[(others.length - 1) / 2] + others[others.length / 2]) / 2;
        double deviation = median == 0 ? Math.abs(largest.value()) : Math.abs(largest.value() / median - 1);
        boolean holds = deviation <= allowed;
        held &= holds;
        ObjectNode node = rules.putObject(name);
        node.put("unit", unit)
                .put("value", rounded(deviation))
                .put("most", allowed)
                .put("held", holds);
        for (Slope.Point point : bySize) {
            node.withArray("points").addArray().add(point.size()).add(rounded(point.value()));
        }
        String formattedPoints = bySize.stream()
                .map(p -> String.format(Locale.ROOT, "%.4g: %.4g", p.size(), p.value()))
                .collect(Collectors.joining(", "));
        print(String.format(
                Locale.ROOT,
                "  %s (%s): %s; the largest is %.1f%% off the others' median, at most" + " %.0f%%%s",
                name,
                unit,
                formattedPoints,
                100 * deviation,
                100 * allowed,
                holds ? "" : " BROKEN"));
        return holds;
    }

    /** Checks that the ratio of two values of this run does not exceed a maximum. */
    void atMost(String name, double ratio, double maximum) {
        boolean holds = ratio <= maximum;
        held &= holds;
        rules.putObject(name).put("value", rounded(ratio)).put("most", maximum).put("held", holds);
        print(String.format(Locale.ROOT, "  %s: %.4g of at most %.4g%s", name, ratio, maximum, holds ? "" : " BROKEN"));
    }

    boolean held() {
        return held;
    }

    /** Returns the whole report as one line of JSON, the last line of the output. */
    String json(long seconds) {
        return root.put("held", held).put("seconds", seconds).toString();
    }

    private static double rounded(double value) {
        return value == 0 || Double.isInfinite(value) || Double.isNaN(value)
                ? 0
                : Double.parseDouble(String.format(Locale.ROOT, "%.5g", value));
    }
}
