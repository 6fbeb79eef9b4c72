package beaconladder.routing.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A request class from the settings, with samples of its recent requests.
 *
 * @param index the index of the class in the settings
 * @param consistency what data its requests need
 * @param maxStalenessNanos for {@link Consistency#BOUNDED}: how old the data may be
 * @param idempotency what a retry does
 * @param deduplicationScope for {@link Idempotency#WITH_KEY}: where a retry is discarded
 * @param keyTtlNanos for {@link Idempotency#WITH_KEY}: how long retries are discarded
 * @param slaNanos within what time an answer has its full weight
 * @param timeoutNanos how long clients wait for an answer
 * @param weight the priority weight of one request
 * @param lateShare the share of the weight that is left after the SLA time
 * @param budgets the time budgets with which the last requests of this class arrived, in nanoseconds
 * @param slaResults how the last requests of this class ended: 1 for an answer within the SLA time
 */
public record RequestClass(
        int index,
        Consistency consistency,
        long maxStalenessNanos,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long keyTtlNanos,
        long slaNanos,
        long timeoutNanos,
        double weight,
        double lateShare,
        SampleWindow budgets,
        SampleWindow slaResults) {

    /** What data the requests of a class need. */
    public enum Consistency {
        ANY,
        BOUNDED,
        SESSION,
        CURRENT,
        WRITE;

        /** Whether only the primary can serve such a request. */
        public boolean requiresPrimary() {
            return this == CURRENT || this == WRITE;
        }

        /** Whether such a request needs a primary in its group, to serve it or to keep the replicas up to date. */
        public boolean dependsOnPrimary() {
            return requiresPrimary() || this == BOUNDED;
        }
    }

    /** What a retry does. */
    public enum Idempotency {
        IDEMPOTENT,
        WITH_KEY,
        NON_IDEMPOTENT
    }

    /** For requests with an idempotency key: which hosts discard a retry. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        GROUP
    }

    /**
     * Reads the request classes from the settings; a key that is not given takes its default.
     *
     * @throws NumberFormatException if a numeric setting is not a number
     */
    public static List<RequestClass> parse(Map<String, String> settings) {
        List<RequestClass> requestClasses = new ArrayList<>();
        int count = Integer.parseInt(settings.getOrDefault("request_classes.count", "0"));
        String[] consistencies =
                settings.getOrDefault("family_info.freshness", "").split(",");
        String[] stalenessBounds =
                settings.getOrDefault("family_info.oldest_data_us", "").split(",");
        for (int i = 0; i < count; i++) {
            String prefix = "request_classes." + i + ".";
            Consistency consistency = switch (i < consistencies.length ? consistencies[i] : "") {
                case "loose" -> Consistency.ANY;
                case "recent" -> Consistency.BOUNDED;
                case "own_writes" -> Consistency.SESSION;
                case "update" -> Consistency.WRITE;
                default -> Consistency.CURRENT;
            };
            Idempotency idempotency = switch (settings.getOrDefault(prefix + "effect", "")) {
                case "pure" -> Idempotency.IDEMPOTENT;
                case "token" -> Idempotency.WITH_KEY;
                default -> Idempotency.NON_IDEMPOTENT;
            };
            DeduplicationScope scope = switch (settings.getOrDefault(prefix + "dedup_scope", "")) {
                case "all" -> DeduplicationScope.ALL;
                case "zone" -> DeduplicationScope.ZONE;
                default -> DeduplicationScope.GROUP;
            };
            long maxStalenessNanos =
                    i < stalenessBounds.length && !stalenessBounds[i].isEmpty() ? nanos(stalenessBounds[i]) : 0;
            long timeoutNanos = nanos(settings.getOrDefault(prefix + "give_up_us", "1000000"));
            String statedSla = settings.get(prefix + "goal_time_us");
            long slaNanos = statedSla == null ? timeoutNanos : nanos(statedSla);
            requestClasses.add(new RequestClass(
                    i,
                    consistency,
                    maxStalenessNanos,
                    idempotency,
                    scope,
                    nanos(settings.getOrDefault(prefix + "key_ttl_us", "0")),
                    slaNanos,
                    timeoutNanos,
                    Double.parseDouble(settings.getOrDefault(prefix + "points", "1")),
                    Double.parseDouble(settings.getOrDefault(prefix + "late_share", "0")),
                    new SampleWindow(32),
                    new SampleWindow(64)));
        }
        return List.copyOf(requestClasses);
    }

    private static long nanos(String micros) {
        return Math.round(Double.parseDouble(micros) * 1_000.0);
    }
}
