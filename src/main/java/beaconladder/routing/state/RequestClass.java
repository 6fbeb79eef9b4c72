package beaconladder.routing.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A request class, as stated at start.
 *
 * @param bound for {@link Read#BOUNDED}: how old the data may be
 * @param memory for {@link Effect#REFERENCED}: how long retries are discarded
 * @param late the share of the value that is left after the SLA time
 * @param budgets the budgets that the last requests of this type brought
 * @param served how the last requests of this type ended: 1 for an answer in time
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

    /** What data a request class needs. */
    public enum Consistency {
        ANY,
        BOUNDED,
        SESSION,
        CURRENT,
        WRITE;

        /** Whether only the primary can take it. */
        public boolean requiresPrimary() {
            return this == CURRENT || this == WRITE;
        }

        /** Whether its group has to have a primary, to take it or to keep the replicas young. */
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

    /** For referenced requests: who discards a retry. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        GROUP
    }

    public static List<RequestClass> parse(Map<String, String> start) {
        List<RequestClass> types = new ArrayList<>();
        int count = Integer.parseInt(start.getOrDefault("request_classes.count", "0"));
        String[] reads = start.getOrDefault("family_info.freshness", "").split(",");
        String[] bounds = start.getOrDefault("family_info.oldest_data_us", "").split(",");
        for (int i = 0; i < count; i++) {
            String at = "request_classes." + i + ".";
            Consistency read = switch (i < reads.length ? reads[i] : "") {
                case "loose" -> Consistency.ANY;
                case "recent" -> Consistency.BOUNDED;
                case "own_writes" -> Consistency.SESSION;
                case "update" -> Consistency.WRITE;
                default -> Consistency.CURRENT;
            };
            Idempotency effect = switch (start.getOrDefault(at + "effect", "")) {
                case "pure" -> Idempotency.IDEMPOTENT;
                case "token" -> Idempotency.WITH_KEY;
                default -> Idempotency.NON_IDEMPOTENT;
            };
            DeduplicationScope scope = switch (start.getOrDefault(at + "dedup_scope", "")) {
                case "all" -> DeduplicationScope.ALL;
                case "zone" -> DeduplicationScope.ZONE;
                default -> DeduplicationScope.GROUP;
            };
            long bound = i < bounds.length && !bounds[i].isEmpty() ? nanos(bounds[i]) : 0;
            long expiry = nanos(start.getOrDefault(at + "give_up_us", "1000000"));
            String stated = start.get(at + "goal_time_us");
            long sla = stated == null ? expiry : nanos(stated);
            types.add(new RequestClass(
                    i,
                    read,
                    bound,
                    effect,
                    scope,
                    nanos(start.getOrDefault(at + "key_ttl_us", "0")),
                    sla,
                    expiry,
                    Double.parseDouble(start.getOrDefault(at + "points", "1")),
                    Double.parseDouble(start.getOrDefault(at + "late_share", "0")),
                    new SampleWindow(32),
                    new SampleWindow(64)));
        }
        return List.copyOf(types);
    }

    private static long nanos(String micros) {
        return Math.round(Double.parseDouble(micros) * 1_000.0);
    }
}
