package beaconladder.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/** What the routers of scripts are told at their start, unless a script says otherwise. */
final class ScriptSettings {
    private ScriptSettings() {}

    /** Six request classes, one of each kind of read and write. */
    static Map<String, String> usual() {
        Map<String, String> start = new LinkedHashMap<>();
        start.put("family_info.freshness", "loose,recent,own_writes,latest,update,update");
        start.put("family_info.oldest_data_us", "0,500000,0,0,0,0");
        start.put("family_info.session_marks", "client");
        start.put("request_classes.count", "6");
        for (int i = 0; i < 6; i++) {
            start.put("request_classes." + i + ".effect", i < 4 ? "pure" : i == 4 ? "side_effect" : "token");
            start.put("request_classes." + i + ".goal_time_us", "800000");
            start.put("request_classes." + i + ".give_up_us", "2000000");
            start.put("request_classes." + i + ".key_ttl_us", "300000");
            start.put("request_classes." + i + ".dedup_scope", "cell");
            start.put("request_classes." + i + ".late_share", i < 4 ? "0" : "0.5");
        }
        start.put("fees.probe", "0.05");
        start.put("limits.max_attempts", "6");
        start.put("limits.second_copies", "true");
        start.put("limits.cancel", "true");
        start.put("limits.probes", "true");
        start.put("rules.warm_within_us", "10000000");
        start.put("rules.cold_share", "0.2");
        start.put("rules.fall_us", "1000000");
        return start;
    }
}
