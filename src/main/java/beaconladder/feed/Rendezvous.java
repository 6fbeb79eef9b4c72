package beaconladder.feed;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing of routers to relays: a router prefers the relays with the highest hash of both names (Thaler and
 * Ravishankar, 1996). If a relay is added or removed, only routers that prefer it change their first relay.
 */
final class Rendezvous {
    private Rendezvous() {}

    /** Returns all relays in the router's order of preference. */
    static List<String> preferenceOrder(String router, Collection<String> relays) {
        return relays.stream()
                .sorted(Comparator.comparingLong((String relay) -> -weight(router, relay))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /** Returns the hash without its sign bit, so that its negation can't overflow. */
    private static long weight(String router, String relay) {
        return Hashing.xxh3_64().hashStream().putString(router).putString(relay).getAsLong() >>> 1;
    }
}
