package beaconladder.rollout;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which routers a change reaches at which stage: first one in each zone, then shares of all. Each router has a rank by
 * rendezvous hash of its name and the change's number (Thaler and Ravishankar, 1998), so that every process computes
 * the same sets, and another change starts with other routers.
 */
public final class RolloutStages {
    /** Of all routers, at the stages after the first; each stage adds to the one before it. */
    private static final double[] SHARES = {0.05, 0.25, 0.5, 1};
    /** How many stages there are. */
    public static final int STAGE_COUNT = SHARES.length + 1;

    /** A router of the fleet. */
    public record RouterLocation(String name, String zone) {}

    private RolloutStages() {}

    /**
     * The names of the routers that run the new version at a stage; none before the first.
     *
     * @param stage from 0; -1 is before the first
     */
    public static Set<String> changed(List<RouterLocation> routers, long change, int stage) {
        Set<String> changed = new LinkedHashSet<>();
        if (stage < 0) {
            return changed;
        }
        List<RouterLocation> ranked = routers.stream()
                .sorted(Comparator.comparingLong((RouterLocation router) -> rank(router.name(), change))
                        .thenComparing(RouterLocation::name))
                .toList();
        TreeMap<String, String> firstByZone = new TreeMap<>();
        ranked.forEach(router -> firstByZone.putIfAbsent(router.zone(), router.name()));
        changed.addAll(firstByZone.values());
        for (int i = 0; i < stage && i < SHARES.length; i++) {
            int limit = (int) Math.ceil(SHARES[i] * ranked.size());
            for (RouterLocation router : ranked) {
                if (changed.size() >= limit) {
                    break;
                }
                changed.add(router.name());
            }
        }
        return changed;
    }

    private static long rank(String name, long change) {
        return Hashing.xxh3_64().hashCharsToLong(name + "/" + change);
    }
}
