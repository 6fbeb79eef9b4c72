package beaconladder.testbed.scale;

import java.util.LinkedHashMap;
import java.util.Map;

/** The settings of a simulated router at start. */
final class SimulatedRouterSettings {
    /** Statements per second on one host of the users' fleet, from all routers. */
    private static final double STATEMENTS_PER_HOST_SECOND = 638;

    private SimulatedRouterSettings() {}

    /** Returns how many routers give each of these hosts the users' rate: 4,102 routers with 5,799 hosts. */
    static int routers(int hosts) {
        return (int)
                Math.max(1, Math.round(STATEMENTS_PER_HOST_SECOND * hosts / SimulatedRouter.STATEMENTS_PER_SECOND));
    }

    /**
     * Returns the settings that the router receives at start, those of valpo-despacho-later except for the number of
     * routers.
     */
    static Map<String, String> settings(int hosts) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("family_info.freshness", "recent,own_writes,loose,update");
        values.put("family_info.oldest_data_us", "500000,0,0,0");
        values.put("family_info.session_marks", "client");
        values.put("request_classes.count", "4");
        String[][] types = {
            {"pure", "800000", "2000000", "1", "0"},
            {"pure", "750000", "3000000", "1", "0.2"},
            {"pure", "800000", "2500000", "2", "0.2"},
            {"side_effect", "1000000", "3000000", "3", "0.7"}
        };
        String[] names = {"effect", "goal_time_us", "give_up_us", "points", "late_share"};
        for (int i = 0; i < types.length; i++) {
            for (int j = 0; j < names.length; j++) {
                values.put("request_classes." + i + "." + names[j], types[i][j]);
            }
        }
        values.put("fees.probe", "0.069");
        values.put("goal.whole", "0.45");
        values.put("goal.worst_class", "0.2");
        values.put("limits.max_attempts", "10");
        values.put("limits.second_copies", "true");
        values.put("limits.cancel", "true");
        values.put("limits.probes", "true");
        values.put("limits.conn_idle_us", "15000000");
        values.put("rules.warm_within_us", "18000000");
        values.put("rules.cold_share", "0.2");
        values.put("rules.fall_us", "1000000");
        values.put("rules.fall_multiple", "3");
        values.put("replicas_of_me", String.valueOf(routers(hosts)));
        values.put("round_us", "5000");
        values.put("my_zone", "0");
        return values;
    }
}
