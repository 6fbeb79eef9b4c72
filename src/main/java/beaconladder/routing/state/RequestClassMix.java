package beaconladder.routing.state;

/** Of which types the txns were that came last, counted as they come. */
public final class RequestClassMix {
    private final int[] places;
    private final int[] counts;
    private int size;
    private int next;

    RequestClassMix(int keep, int types) {
        places = new int[keep];
        counts = new int[types];
    }

    /** A txn of the type at this place has come; the oldest one kept makes room for it. */
    void record(int place) {
        if (size == places.length) {
            counts[places[next]]--;
        }
        places[next] = place;
        counts[place]++;
        next = (next + 1) % places.length;
        size = Math.min(size + 1, places.length);
    }

    public int size() {
        return size;
    }

    /** How many are of the type at this place. */
    public int count(int place) {
        return counts[place];
    }
}
