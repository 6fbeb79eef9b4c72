package beaconladder.routing.state;

import java.util.Arrays;

/** The last few measurements, each with the time it was taken and a second figure that goes with it. */
public final class SampleWindow {
    private final long[] values;
    private final long[] companions;
    private final long[] takenNanos;
    private int size;
    private int next;
    /** The share last asked for and its quantile, which stands until the next sample; under 0 for none. */
    private double cachedShare = -1;

    private long quantile;

    public SampleWindow(int capacity) {
        values = new long[capacity];
        companions = new long[capacity];
        takenNanos = new long[capacity];
    }

    public void add(long value, long companion, long now) {
        values[next] = value;
        companions[next] = companion;
        cachedShare = -1;
        takenNanos[next] = now;
        next = (next + 1) % values.length;
        size = Math.min(size + 1, values.length);
    }

    public void clear() {
        size = 0;
        next = 0;
        cachedShare = -1;
    }

    public int size() {
        return size;
    }

    /** How many were taken at or after this time. */
    public int countSince(long time) {
        int n = 0;
        for (int i = 0; i < size; i++) {
            if (takenNanos[i] >= time) {
                n++;
            }
        }
        return n;
    }

    /** The sum of those taken at or after this time. */
    public long sumSince(long time) {
        long sum = 0;
        for (int i = 0; i < size; i++) {
            if (takenNanos[i] >= time) {
                sum += values[i];
            }
        }
        return sum;
    }

    /** How many lie between these two, the lower one included. */
    public int countBetween(long from, long to) {
        int n = 0;
        for (int i = 0; i < size; i++) {
            if (values[i] >= from && values[i] < to) {
                n++;
            }
        }
        return n;
    }

    public double mean() {
        return mean(values, Long.MIN_VALUE);
    }

    /** The mean of those taken at or after this time; 0 without any. */
    public double mean(long since) {
        return mean(values, since);
    }

    /** The mean of the figures beside those taken at or after this time; 0 without any. */
    public double meanCompanion(long since) {
        return mean(companions, since);
    }

    /** The value below which this share of the samples lies; 0 without samples. */
    public long quantile(double share) {
        if (size == 0) {
            return 0;
        }
        if (share != cachedShare) {
            long[] sorted = Arrays.copyOf(values, size);
            Arrays.sort(sorted);
            cachedShare = share;
            quantile = sorted[Math.min(size - 1, (int) (share * size))];
        }
        return quantile;
    }

    /** The middle of the window of this width that holds the most samples; 0 without samples. */
    public long densestMiddle(long width) {
        long[] sorted = Arrays.copyOf(values, size);
        Arrays.sort(sorted);
        int from = 0;
        int maxCount = 0;
        long middle = 0;
        for (int to = 0; to < size; to++) {
            while (sorted[to] - sorted[from] > width) {
                from++;
            }
            if (to - from + 1 > maxCount) {
                maxCount = to - from + 1;
                middle = (sorted[from] + sorted[to]) / 2;
            }
        }
        return middle;
    }

    /** The value to expect beside this figure, by a straight line through the samples that doesn't fall. */
    public double predict(double companion) {
        double meanValue = mean();
        double meanCompanion = meanCompanion(Long.MIN_VALUE);
        double squares = 0;
        double products = 0;
        for (int i = 0; i < size; i++) {
            squares += (companions[i] - meanCompanion) * (companions[i] - meanCompanion);
            products += (companions[i] - meanCompanion) * (values[i] - meanValue);
        }
        return squares == 0 || products <= 0 ? meanValue : meanValue + (companion - meanCompanion) * products / squares;
    }

    private double mean(long[] figures, long since) {
        double sum = 0;
        int n = 0;
        for (int i = 0; i < size; i++) {
            if (takenNanos[i] >= since) {
                sum += figures[i];
                n++;
            }
        }
        return n == 0 ? 0 : sum / n;
    }
}
