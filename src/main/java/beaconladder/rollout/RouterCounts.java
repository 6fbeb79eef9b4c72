package beaconladder.rollout;

import java.util.Map;
import java.util.TreeMap;

/**
 * One router's request counts by request class, since it started with its current version.
 *
 * @param router the name of the router
 * @param incarnation the incarnation of the process, so that no counts from before a restart are subtracted
 * @param version the version that the counts belong to
 * @param byClass the counts by the name of the request class
 */
public record RouterCounts(String router, String incarnation, long version, Map<String, ClassCounts> byClass) {
    /**
     * The request counts of one class.
     *
     * @param requests the number of requests that received their final response
     * @param lost the number of those that were not served in time: rejected, rolled back or late
     * @param latencyNanos the total time from the first byte to the response of those that were served
     */
    public record ClassCounts(long requests, long lost, long latencyNanos) {
        /** The counts before the first request. */
        public static final ClassCounts NONE = new ClassCounts(0, 0, 0);

        ClassCounts plus(ClassCounts other) {
            return new ClassCounts(requests + other.requests, lost + other.lost, latencyNanos + other.latencyNanos);
        }

        ClassCounts minus(ClassCounts earlier) {
            return new ClassCounts(
                    Math.max(0, requests - earlier.requests),
                    Math.max(0, lost - earlier.lost),
                    Math.max(0, latencyNanos - earlier.latencyNanos));
        }
    }

    /**
     * Returns the counts added since an earlier reading, or all counts if that is null or of another incarnation or
     * version.
     */
    public RouterCounts addedSince(RouterCounts earlier) {
        if (earlier == null || !earlier.incarnation.equals(incarnation) || earlier.version != version) {
            return this;
        }
        Map<String, ClassCounts> added = new TreeMap<>();
        byClass.forEach(
                (name, counts) -> added.put(name, counts.minus(earlier.byClass.getOrDefault(name, ClassCounts.NONE))));
        return new RouterCounts(router, incarnation, version, added);
    }

    /** Returns the sum of these counts and later ones of the same router. */
    RouterCounts plus(RouterCounts later) {
        Map<String, ClassCounts> sum = new TreeMap<>(byClass);
        later.byClass.forEach((name, counts) -> sum.merge(name, counts, ClassCounts::plus));
        return new RouterCounts(router, later.incarnation, later.version, sum);
    }
}
