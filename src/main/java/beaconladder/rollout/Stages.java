package beaconladder.rollout;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which routers a change reaches at which stage: first one in each zone, then shares of all. Each router has a rank by
 * rendezvous hash of its name and the change's number (Thaler and Ravishankar, 1998), so that any process reckons the
 * same sets, and another change begins with other routers.
 */
public final class Stages {
    /** Of all routers, at the stages after the first; each adds to the one before it. */
    private static final double[] SHARES = {0.05, 0.25, 0.5, 1};
    /** How many stages there are. */
    public static final int COUNT = SHARES.length + 1;

    /** A router that takes part. */
    public record Place(String name, String zone) {}

    private Stages() {}

    /**
     * The routers that are on the new version at a stage; none before the first.
     *
     * @param stage from 0; -1 is before the first
     */
    public static Set<String> changed(List<Place> routers, long change, int stage) {
        Set<String> found = new LinkedHashSet<>();
        if (stage < 0) {
            return found;
        }
        List<Place> ranked = routers.stream()
                .sorted(Comparator.comparingLong((Place r) -> rank(r.name(), change))
                        .thenComparing(Place::name))
                .toList();
        TreeMap<String, String> first = new TreeMap<>();
        ranked.forEach(router -> first.putIfAbsent(router.zone(), router.name()));
        found.addAll(first.values());
        for (int i = 0; i < stage && i < SHARES.length; i++) {
            int most = (int) Math.ceil(SHARES[i] * ranked.size());
            for (Place router : ranked) {
                if (found.size() >= most) {
                    break;
                }
                found.add(router.name());
            }
        }
        return found;
    }

    private static long rank(String name, long change) {
        return Hashing.xxh3_64().hashCharsToLong(name + "/" + change);
    }
}
