package beaconladder.rollout;

import java.util.Map;
import java.util.TreeMap;

/**
 * What one router has counted of its requests under one version, by request class, since it started with that version.
 *
 * @param router by name
 * @param incarnation of the process, so that counts that a restart has reset are not subtracted
 * @param version that the counts belong to
 * @param byClass counts by the name of the request class
 */
public record RouterCounts(String router, String incarnation, long version, Map<String, ClassCounts> byClass) {
    /**
     * Requests of one class.
     *
     * @param requests that have received their final response
     * @param lost of them, those not served in time: rejected, rolled back, late
     * @param latencyNanos from the first byte to the response, of those served, summed
     */
    public record ClassCounts(long requests, long lost, long latencyNanos) {
        /** No request yet. */
        public static final ClassCounts NONE = new ClassCounts(0, 0, 0);

        ClassCounts plus(ClassCounts more) {
            return new ClassCounts(requests + more.requests, lost + more.lost, latencyNanos + more.latencyNanos);
        }

        ClassCounts minus(ClassCounts less) {
            return new ClassCounts(
                    Math.max(0, requests - less.requests),
                    Math.max(0, lost - less.lost),
                    Math.max(0, latencyNanos - less.latencyNanos));
        }
    }

    /** What was added since an earlier reading of the same incarnation and version; everything for any other. */
    public RouterCounts since(RouterCounts earlier) {
        if (earlier == null || !earlier.incarnation.equals(incarnation) || earlier.version != version) {
            return this;
        }
        Map<String, ClassCounts> added = new TreeMap<>();
        byClass.forEach(
                (name, counts) -> added.put(name, counts.minus(earlier.byClass.getOrDefault(name, ClassCounts.NONE))));
        return new RouterCounts(router, incarnation, version, added);
    }

    /** These counts and later ones of the same router. */
    RouterCounts plus(RouterCounts later) {
        Map<String, ClassCounts> sum = new TreeMap<>(byClass);
        later.byClass.forEach((name, counts) -> sum.merge(name, counts, ClassCounts::plus));
        return new RouterCounts(router, later.incarnation, later.version, sum);
    }
}
