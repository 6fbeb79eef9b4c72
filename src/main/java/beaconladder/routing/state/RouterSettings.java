package beaconladder.routing.state;

import java.util.List;
import java.util.Map;

/**
 * The settings of one router, read once from the flat key-value map that it is given at start.
 *
 * @param requestClasses the request classes, by index
 * @param routers how many routers share the hosts
 * @param zone the zone of this router
 * @param roundNanos the longest time between two rounds of decisions
 * @param clientsMarkRetries whether clients mark their retries, so that an unmarked request is a first attempt
 * @param routerKeepsSessions whether the router, not the client, keeps the positions of sessions' writes
 * @param probesAllowed whether hosts may be probed; without probes every listed host counts as reachable
 * @param hedgingAllowed whether an idempotent request may be in flight at two hosts
 * @param cancelAllowed whether attempts in flight may be cancelled
 * @param maxAttempts how many attempts a request may have
 * @param maxRetryAfterNanos the longest Retry-After for a rejected request; 0 when none may be given
 * @param connectionIdleNanos how long hosts keep an idle connection
 * @param probePrice the price of a probe as a share of a request; as stated, possibly 0
 * @param totalGoal what the total weight served counts in the goal
 * @param worstClassGoal what the worst served request class counts in the goal
 * @param slowStartNanos how long after its launch a host is in slow start
 * @param slowStartMinShare the share of a warm host's load that a host can take right after its launch
 * @param slowStartMultiple the multiple of a host's capacity above which it is overloaded in slow start
 * @param slowStartTicketNanos how long a ticket for a send to a host in slow start is valid
 */
public record RouterSettings(
        List<RequestClass> requestClasses,
        int routers,
        int zone,
        long roundNanos,
        boolean clientsMarkRetries,
        boolean routerKeepsSessions,
        boolean probesAllowed,
        boolean hedgingAllowed,
        boolean cancelAllowed,
        int maxAttempts,
        long maxRetryAfterNanos,
        long connectionIdleNanos,
        double probePrice,
        double totalGoal,
        double worstClassGoal,
        long slowStartNanos,
        double slowStartMinShare,
        double slowStartMultiple,
        long slowStartTicketNanos) {

    /**
     * Reads the settings; a key that is not given takes its default.
     *
     * @throws NumberFormatException if a numeric setting is not a number
     */
    public static RouterSettings parse(Map<String, String> settings) {
        return new RouterSettings(
                RequestClass.parse(settings),
                (int) number(settings, "replicas_of_me", 1),
                (int) number(settings, "my_zone", 0),
                (long) number(settings, "round_us", 5_000) * 1_000,
                isTrue(settings, "clients.marks_retry"),
                "router".equals(settings.get("family_info.session_marks")),
                !"false".equals(settings.get("limits.probes")),
                isTrue(settings, "limits.second_copies"),
                isTrue(settings, "limits.cancel"),
                (int) number(settings, "limits.max_attempts", 1),
                isTrue(settings, "limits.retry_after") ? nanos(settings, "limits.max_retry_after_us") : 0,
                nanos(settings, "limits.conn_idle_us"),
                number(settings, "fees.probe", 0),
                number(settings, "goal.whole", 1),
                number(settings, "goal.worst_class", 0),
                nanos(settings, "rules.warm_within_us"),
                number(settings, "rules.cold_share", 0),
                number(settings, "rules.fall_multiple", 2),
                nanos(settings, "rules.fall_us"));
    }

    private static boolean isTrue(Map<String, String> settings, String key) {
        return "true".equals(settings.get(key));
    }

    private static double number(Map<String, String> settings, String key, double defaultValue) {
        String value = settings.get(key);
        return value == null ? defaultValue : Double.parseDouble(value);
    }

    /** A time that is given in microseconds; 0 if it is not given. */
    private static long nanos(Map<String, String> settings, String key) {
        return Long.parseLong(settings.getOrDefault(key, "0")) * 1_000;
    }
}
