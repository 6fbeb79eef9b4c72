package beaconladder.feed;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Which relay a router turns to: the highest hash of both names first (Thaler and Ravishankar, 1996). One relay more or
 * less moves only those routers whose first it is.
 */
final class Rendezvous {
    private Rendezvous() {}

    /** All of them, the router's own first, its spare second. */
    static List<String> order(String router, Collection<String> relays) {
        return relays.stream()
                .sorted(Comparator.comparingLong((String relay) -> -(Hashing.xxh3_64()
                                        .hashStream()
                                        .putString(router)
                                        .putString(relay)
                                        .getAsLong()
                                >>> 1))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }
}
