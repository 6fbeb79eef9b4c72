package beaconladder.testbed.scale;

import java.util.Comparator;
import java.util.List;

/**
 * A straight line by least squares through all points but the largest, which it must foretell. Own lines: commons-math3
 * is of the grantors' libraries, and this program's jar alone must do.
 *
 * @param fitted the points that it was fitted to, by size
 * @param leftOut the largest, which the fit has not seen
 * @param base the line's value at size 0
 * @param slope by how much it grows with each one more
 * @param residual the mean distance of the fitted points from the line, as a share of their mean
 */
record Slope(List<Point> fitted, Point leftOut, double base, double slope, double residual) {
    /** Three say whether a line is one; the fourth is left out, and one more bears a poor one. */
    static final int FEWEST = 5;
    /** A square through sizes that double lies 0.47 of its last point above the line. */
    private static final double BENT = 0.45;

    /** What was measured at a size. */
    record Point(double size, double value) {}

    static Slope of(List<Point> points) {
        List<Point> all =
                points.stream().sorted(Comparator.comparingDouble(Point::size)).toList();
        if (all.size() < FEWEST || all.stream().map(Point::size).distinct().count() < all.size()) {
            throw new IllegalArgumentException("a slope needs " + FEWEST + " sizes, each once");
        }
        List<Point> fitted = all.subList(0, all.size() - 1);
        double x = fitted.stream().mapToDouble(Point::size).average().orElseThrow();
        double y = fitted.stream().mapToDouble(Point::value).average().orElseThrow();
        double xx = fitted.stream()
                .mapToDouble(p -> (p.size() - x) * (p.size() - x))
                .sum();
        double xy = fitted.stream()
                .mapToDouble(p -> (p.size() - x) * (p.value() - y))
                .sum();
        double slope = xy / xx;
        double base = y - slope * x;
        double off = fitted.stream()
                .mapToDouble(p -> Math.abs(p.value() - base - slope * p.size()))
                .average()
                .orElseThrow();
        return new Slope(fitted, all.get(all.size() - 1), base, slope, y == 0 ? 0 : off / Math.abs(y));
    }

    /** What it foretells for this size. */
    double at(double size) {
        return base + slope * size;
    }

    /** How far the point that was left out is from what the line foretold, as a share of the point. */
    double miss() {
        return leftOut.value() == 0
                ? Math.abs(at(leftOut.size()))
                : Math.abs(at(leftOut.size()) - leftOut.value()) / Math.abs(leftOut.value());
    }

    /**
     * Whether the line holds for the point that was left out, within this share of it; and whatever noise is allowed, a
     * point that lies far above the line is of a curve that bends up.
     */
    boolean holds(double allowed) {
        return miss() <= allowed && leftOut.value() - at(leftOut.size()) <= BENT * Math.abs(leftOut.value());
    }

    /** How many times beyond the largest measured size this one lies; 1 where it was measured. */
    double beyond(double size) {
        return Math.max(1, size / leftOut.size());
    }
}
