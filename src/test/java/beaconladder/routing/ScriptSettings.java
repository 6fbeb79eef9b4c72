package beaconladder.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/** The settings of the routers in scripts, unless a script overrides them. */
final class ScriptSettings {
    private ScriptSettings() {}

    /** Returns settings with six request classes, one for each kind of read and write. */
    static Map<String, String> defaults() {
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("family_info.freshness", "loose,recent,own_writes,latest,update,update");
        settings.put("family_info.oldest_data_us", "0,500000,0,0,0,0");
        settings.put("family_info.session_marks", "client");
        settings.put("request_classes.count", "6");
        for (int i = 0; i < 6; i++) {
            settings.put("request_classes." + i + ".effect", i < 4 ? "pure" : i == 4 ? "side_effect" : "token");
            settings.put("request_classes." + i + ".goal_time_us", "800000");
            settings.put("request_classes." + i + ".give_up_us", "2000000");
            settings.put("request_classes." + i + ".key_ttl_us", "300000");
            settings.put("request_classes." + i + ".dedup_scope", "cell");
            settings.put("request_classes." + i + ".late_share", i < 4 ? "0" : "0.5");
        }
        settings.put("fees.probe", "0.05");
        settings.put("limits.max_attempts", "6");
        settings.put("limits.second_copies", "true");
        settings.put("limits.cancel", "true");
        settings.put("limits.probes", "true");
        settings.put("rules.warm_within_us", "10000000");
        settings.put("rules.cold_share", "0.2");
        settings.put("rules.fall_us", "1000000");
        return settings;
    }
}
