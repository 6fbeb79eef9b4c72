package beaconladder.routing.state;

/** Of which types the requests were that came last, counted as they come. */
public final class RequestClassMix {
    private final int[] recentIndexes;
    private final int[] counts;
    private int size;
    private int next;

    RequestClassMix(int capacity, int classCount) {
        recentIndexes = new int[capacity];
        counts = new int[classCount];
    }

    /** A request of the class at this index has arrived; it replaces the oldest one recorded. */
    void record(int classIndex) {
        if (size == recentIndexes.length) {
            counts[recentIndexes[next]]--;
        }
        recentIndexes[next] = classIndex;
        counts[classIndex]++;
        next = (next + 1) % recentIndexes.length;
        size = Math.min(size + 1, recentIndexes.length);
    }

    public int size() {
        return size;
    }

    /** How many are of the type at this place. */
    public int count(int classIndex) {
        return counts[classIndex];
    }
}
