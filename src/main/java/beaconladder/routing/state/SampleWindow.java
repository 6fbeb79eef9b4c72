package beaconladder.routing.state;

import java.util.Arrays;

/**
 * The last few measurements, each with its time and the load under which it was taken (0 where that has no meaning).
 */
public final class SampleWindow {
    private final long[] values;
    private final long[] loads;
    private final long[] takenNanos;
    private int size;
    private int next;
    /** The share of the cached quantile, which is valid until the next sample; less than 0 without one. */
    private double cachedShare = -1;

    private long cachedQuantile;

    /** Creates an empty window that keeps this many samples. */
    public SampleWindow(int capacity) {
        values = new long[capacity];
        loads = new long[capacity];
        takenNanos = new long[capacity];
    }

    /** Adds a sample, which replaces the oldest one if the window is full. */
    public void add(long value, long load, long now) {
        values[next] = value;
        loads[next] = load;
        cachedShare = -1;
        takenNanos[next] = now;
        next = (next + 1) % values.length;
        size = Math.min(size + 1, values.length);
    }

    /** Removes all samples. */
    public void clear() {
        size = 0;
        next = 0;
        cachedShare = -1;
    }

    /** Returns the number of samples, at most the capacity. */
    public int size() {
        return size;
    }

    /** Returns the number of samples taken at or after this time. */
    public int countSince(long sinceNanos) {
        int count = 0;
        for (int i = 0; i < size; i++) {
            if (takenNanos[i] >= sinceNanos) {
                count++;
            }
        }
        return count;
    }

    /** Returns the sum of the samples taken at or after this time. */
    public long sumSince(long sinceNanos) {
        long sum = 0;
        for (int i = 0; i < size; i++) {
            if (takenNanos[i] >= sinceNanos) {
                sum += values[i];
            }
        }
        return sum;
    }

    /** Returns the number of samples from the lower bound, inclusive, to the upper bound, exclusive. */
    public int countBetween(long lower, long upper) {
        int count = 0;
        for (int i = 0; i < size; i++) {
            if (values[i] >= lower && values[i] < upper) {
                count++;
            }
        }
        return count;
    }

    /** Returns the mean of all samples; 0 without any. */
    public double mean() {
        return mean(values, Long.MIN_VALUE);
    }

    /** Returns the mean of the samples taken at or after this time; 0 without any. */
    public double mean(long sinceNanos) {
        return mean(values, sinceNanos);
    }

    /** Returns the mean load of the samples taken at or after this time; 0 without any. */
    public double meanLoad(long sinceNanos) {
        return mean(loads, sinceNanos);
    }

    /** Returns the value below which this share of the samples lies; 0 without samples. */
    public long quantile(double share) {
        if (size == 0) {
            return 0;
        }
        if (share != cachedShare) {
            long[] sorted = Arrays.copyOf(values, size);
            Arrays.sort(sorted);
            cachedShare = share;
            cachedQuantile = sorted[Math.min(size - 1, (int) (share * size))];
        }
        return cachedQuantile;
    }

    /** Returns the middle of the cluster of at most this width that has the most samples; 0 without samples. */
    public long densestClusterMiddle(long width) {
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

    /** Returns the value expected under this load, by a linear regression that does not fall with the load. */
    public double predict(double load) {
        double meanValue = mean();
        double meanLoad = meanLoad(Long.MIN_VALUE);
        double squares = 0;
        double products = 0;
        for (int i = 0; i < size; i++) {
            squares += (loads[i] - meanLoad) * (loads[i] - meanLoad);
            products += (loads[i] - meanLoad) * (values[i] - meanValue);
        }
        return squares == 0 || products <= 0 ? meanValue : meanValue + (load - meanLoad) * products / squares;
    }

    private double mean(long[] samples, long sinceNanos) {
        double sum = 0;
        int count = 0;
        for (int i = 0; i < size; i++) {
            if (takenNanos[i] >= sinceNanos) {
                sum += samples[i];
                count++;
            }
        }
        return count == 0 ? 0 : sum / count;
    }
}
