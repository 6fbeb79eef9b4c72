package beaconladder.rollout;

import java.util.Map;
import java.util.TreeMap;

/**
 * What one router has seen of its txns under one version, by txn type, since it began with it.
 *
 * @param router by name
 * @param life of the process, so that what a restart has set back is not taken off
 * @param version that the counts are of
 */
public record Tally(String router, String life, long version, Map<String, Count> types) {
    /**
     * Txns of one type.
     *
     * @param txns that have had their final answer
     * @param lost of them, those that were not served in time: declined, rolled back, late
     * @param nanos from the first byte to the answer, of those served, summed
     */
    public record Count(long txns, long lost, long nanos) {
        /** None yet. */
        public static final Count NONE = new Count(0, 0, 0);

        Count plus(Count more) {
            return new Count(txns + more.txns, lost + more.lost, nanos + more.nanos);
        }

        Count minus(Count less) {
            return new Count(
                    Math.max(0, txns - less.txns), Math.max(0, lost - less.lost), Math.max(0, nanos - less.nanos));
        }
    }

    /** What has come since another look at the same life and version; all of it for any other. */
    public Tally since(Tally before) {
        if (before == null || !before.life.equals(life) || before.version != version) {
            return this;
        }
        Map<String, Count> more = new TreeMap<>();
        types.forEach((type, count) -> more.put(type, count.minus(before.types.getOrDefault(type, Count.NONE))));
        return new Tally(router, life, version, more);
    }

    /** This and what came later, of the same router. */
    Tally plus(Tally more) {
        Map<String, Count> sum = new TreeMap<>(types);
        more.types.forEach((type, count) -> sum.merge(type, count, Count::plus));
        return new Tally(router, more.life, more.version, sum);
    }
}
