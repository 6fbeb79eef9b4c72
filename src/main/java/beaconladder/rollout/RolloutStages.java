package beaconladder.rollout;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * Selects the routers that a change reaches at each stage: first one in each zone, then increasing shares of all.
 * Routers are ranked by a rendezvous hash of their name and the change's number (Thaler and Ravishankar, 1998), so that
 * every process computes the same sets, and different changes start with different routers.
 */
public final class RolloutStages {
    /** The shares of all routers at the stages after the first; each stage includes the one before it. */
    private static final double[] SHARES = {0.05, 0.25, 0.5, 1};
    /** The number of stages. */
    public static final int STAGE_COUNT = SHARES.length + 1;

    /** A router of the fleet and its zone. */
    public record RouterLocation(String name, String zone) {}

    private RolloutStages() {}

    /**
     * Returns the names of the routers that run the new version at a stage.
     *
     * @param change the number of the change
     * @param stage the stage, from 0; with -1, before the first stage, the result is empty
     */
    public static Set<String> changedRouters(List<RouterLocation> routers, long change, int stage) {
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
