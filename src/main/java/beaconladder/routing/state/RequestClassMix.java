package beaconladder.routing.state;

/** Counts the last arrivals by request class. */
public final class RequestClassMix {
    private final int[] recentIndexes;
    private final int[] counts;
    private int size;
    private int next;

    RequestClassMix(int capacity, int classCount) {
        recentIndexes = new int[capacity];
        counts = new int[classCount];
    }

    /** Records the arrival of a request of the class with this index; once full, it replaces the oldest one. */
    void record(int classIndex) {
        if (size == recentIndexes.length) {
            counts[recentIndexes[next]]--;
        }
        recentIndexes[next] = classIndex;
        counts[classIndex]++;
        next = (next + 1) % recentIndexes.length;
        size = Math.min(size + 1, recentIndexes.length);
    }

    /** Returns the number of requests recorded, at most the capacity. */
    public int size() {
        return size;
    }

    /** Returns how many of them are of the class with this index. */
    public int count(int classIndex) {
        return counts[classIndex];
    }
}
