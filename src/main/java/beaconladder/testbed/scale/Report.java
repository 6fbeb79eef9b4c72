package beaconladder.testbed.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** What a run has measured, told as it comes and once more as one JSON object; and whether all of it held. */
final class Report {
    /** Counts of bytes and messages: a line that misses its point by more is none. */
    static final double COUNTED = 0.10;
    /** Memory, and twice that for processor time, on a machine that others use, too. */
    static final double TIMED = 0.35;

    private final PrintWriter out;
    private final ObjectNode all = new ObjectMapper().createObjectNode();
    private final ObjectNode slopes;
    private final ObjectNode rules;
    private final ObjectNode figures;
    private boolean held = true;

    Report(PrintWriter out, long seed, boolean small, List<String> parts) {
        this.out = out;
        all.put("rehearsal", "scale").put("seed", seed).put("small", small).put("parts", String.join(",", parts));
        slopes = all.putObject("slopes");
        rules = all.putObject("rules");
        figures = all.putObject("figures");
    }

    void say(String line) {
        out.println(line);
        out.flush();
    }

    /** A value that is told and judged by nobody. */
    void figure(String name, double value) {
        figures.put(name, rounded(value));
        say(String.format(Locale.ROOT, "  %s: %.4g", name, value));
    }

    /** Times, in milliseconds. */
    void times(String name, Histogram times) {
        if (times.getTotalCount() == 0) {
            say("  " + name + ": none");
            return;
        }
        ObjectNode node = figures.putObject(name);
        node.put("count", times.getTotalCount());
        double[] at = {50, 99, 99.9, 100};
        for (double share : at) {
            node.put(
                    "p" + String.format(Locale.ROOT, "%s", share).replace(".0", ""), times.getValueAtPercentile(share));
        }
        say("  " + name + ": " + node);
    }

    /**
     * A line through what was measured.
     *
     * @param target the size that it is told for
     * @param allowed how far it may miss the point that was left out
     */
    Slope slope(String name, String unit, String of, double target, double allowed, List<Slope.Point> points) {
        Slope slope = Slope.of(points);
        boolean holds = slope.holds(allowed);
        held &= holds;
        ObjectNode node = slopes.putObject(name);
        node.put("unit", unit).put("of", of);
        for (Slope.Point point : points) {
            node.withArray("points").addArray().add(point.size()).add(rounded(point.value()));
        }
        node.put("base", rounded(slope.base()))
                .put("slope", rounded(slope.slope()))
                .put("residual", rounded(slope.residual()))
                .put("left_out", slope.leftOut().size())
                .put("foretold", rounded(slope.at(slope.leftOut().size())))
                .put("miss", rounded(slope.miss()))
                .put("allowed", allowed)
                .put("target", target)
                .put("beyond", rounded(slope.beyond(target)))
                .put("at_target", rounded(slope.at(target)))
                .put("held", holds);
        String told = points.stream()
                .map(p -> String.format(Locale.ROOT, "%.4g: %.4g", p.size(), p.value()))
                .collect(Collectors.joining(", "));
        say(String.format(
                Locale.ROOT,
                "  %s (%s by %s): %s; line %.4g + %.4g each, residual %.1f%%;"
                        + " left out %.4g: foretold %.4g, miss %.1f%% of at most %.0f%%%s; at %.4g: %.4g,"
                        + " %.1f times beyond",
                name,
                unit,
                of,
                told,
                slope.base(),
                slope.slope(),
                100 * slope.residual(),
                slope.leftOut().value(),
                slope.at(slope.leftOut().size()),
                100 * slope.miss(),
                100 * allowed,
                holds ? "" : " BROKEN",
                target,
                slope.at(target),
                slope.beyond(target)));
        return slope;
    }

    /**
     * A value that does not grow with size: the largest size lies no further from the median of the others than this
     * share of it, on either side. A line fitted to flat values follows whichever of them is off by chance.
     */
    boolean flat(String name, String unit, double allowed, List<Slope.Point> points) {
        if (points.size() < Slope.FEWEST) {
            throw new IllegalArgumentException("a flat value needs " + Slope.FEWEST + " sizes");
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
        double off = median == 0 ? Math.abs(largest.value()) : Math.abs(largest.value() / median - 1);
        boolean holds = off <= allowed;
        held &= holds;
        ObjectNode node = rules.putObject(name);
        node.put("unit", unit).put("value", rounded(off)).put("most", allowed).put("held", holds);
        for (Slope.Point point : bySize) {
            node.withArray("points").addArray().add(point.size()).add(rounded(point.value()));
        }
        String told = bySize.stream()
                .map(p -> String.format(Locale.ROOT, "%.4g: %.4g", p.size(), p.value()))
                .collect(Collectors.joining(", "));
        say(String.format(
                Locale.ROOT,
                "  %s (%s): %s; the largest is %.1f%% off the others' median, at most" + " %.0f%%%s",
                name,
                unit,
                told,
                100 * off,
                100 * allowed,
                holds ? "" : " BROKEN"));
        return holds;
    }

    /** A rule on two values of this run: their ratio is at most this. */
    void atMost(String name, double ratio, double most) {
        boolean holds = ratio <= most;
        held &= holds;
        rules.putObject(name).put("value", rounded(ratio)).put("most", most).put("held", holds);
        say(String.format(Locale.ROOT, "  %s: %.4g of at most %.4g%s", name, ratio, most, holds ? "" : " BROKEN"));
    }

    boolean held() {
        return held;
    }

    /** The last line. */
    String json(long seconds) {
        return all.put("held", held).put("seconds", seconds).toString();
    }

    private static double rounded(double value) {
        return value == 0 || Double.isInfinite(value) || Double.isNaN(value)
                ? 0
                : Double.parseDouble(String.format(Locale.ROOT, "%.5g", value));
    }
}
