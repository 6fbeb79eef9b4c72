package beaconladder.testbed.scale;

import java.util.Comparator;
import java.util.List;

/**
 * Fits a straight line by least squares to all points but the largest, which the line must predict. It does not use
 * commons-math3, which comes only with the libraries of the lease servers: this program's jar must suffice.
 *
 * @param fitted the points that the line was fitted to, by size
 * @param leftOut the point with the largest size, which is not part of the fit
 * @param base the value of the line at size 0
 * @param slope the growth of the value for each unit of size
 * @param residual the mean distance of the fitted points from the line, as a share of their mean value
 */
record Slope(List<Point> fitted, Point leftOut, double base, double slope, double residual) {
    /** Three points show whether they lie on a line, one is left out, and one more tolerates a poor measurement. */
    static final int MIN_SIZES = 5;
    /** A quadratic fitted at sizes that double puts its last point above the line by 0.47 of its value. */
    private static final double MAX_EXCESS_SHARE = 0.45;

    /** A value measured at one size. */
    record Point(double size, double value) {}

    static Slope of(List<Point> points) {
        List<Point> bySize =
                points.stream().sorted(Comparator.comparingDouble(Point::size)).toList();
        if (bySize.size() < MIN_SIZES
                || bySize.stream().map(Point::size).distinct().count() < bySize.size()) {
            throw new IllegalArgumentException("a slope needs " + MIN_SIZES + " sizes, each once");
        }
        List<Point> fitted = bySize.subList(0, bySize.size() - 1);
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
        double meanDistance = fitted.stream()
                .mapToDouble(p -> Math.abs(p.value() - base - slope * p.size()))
                .average()
                .orElseThrow();
        return new Slope(fitted, bySize.get(bySize.size() - 1), base, slope, y == 0 ? 0 : meanDistance / Math.abs(y));
    }

    /** Returns the value that the line predicts for this size. */
    double predict(double size) {
        return base + slope * size;
    }

    /** Returns the distance between the left-out point and its prediction, as a share of the point's value. */
    double relativeError() {
        return leftOut.value() == 0
                ? Math.abs(predict(leftOut.size()))
                : Math.abs(predict(leftOut.size()) - leftOut.value()) / Math.abs(leftOut.value());
    }

    /**
     * Returns whether the line predicts the left-out point within this share of its value. Independently of the noise
     * allowed, a point that lies far above the line belongs to a curve that grows faster than linearly.
     */
    boolean holds(double allowed) {
        return relativeError() <= allowed
                && leftOut.value() - predict(leftOut.size()) <= MAX_EXCESS_SHARE * Math.abs(leftOut.value());
    }

    /** Returns the ratio of this size to the largest measured one, at least 1. */
    double extrapolationFactor(double size) {
        return Math.max(1, size / leftOut.size());
    }
}
