package beaconladder.testbed.scale;

import java.util.LinkedHashMap;
import java.util.Map;

/** What a hollow router is told at start. */
final class SimulatedRouterSettings {
    /** Statements a second at one host of the users' fleet, of all routers. */
    private static final double HOST_RATE = 638;

    private SimulatedRouterSettings() {}

    /** How many routers give each of these hosts the users' rate: 4,102 before 5,799 hosts. */
    static int routers(int hosts) {
        return (int) Math.max(1, Math.round(HOST_RATE * hosts / SimulatedRouter.RATE));
    }

    /** What the router is told at start, as valpo-despacho-later tells it, but for the number of routers. */
    static Map<String, String> told(int hosts) {
        Map<String, String> start = new LinkedHashMap<>();
        start.put("family_info.freshness", "recent,own_writes,loose,update");
        start.put("family_info.oldest_data_us", "500000,0,0,0");
        start.put("family_info.session_marks", "client");
        start.put("request_classes.count", "4");
        String[][] types = {
            {"pure", "800000", "2000000", "1", "0"},
            {"pure", "750000", "3000000", "1", "0.2"},
            {"pure", "800000", "2500000", "2", "0.2"},
            {"side_effect", "1000000", "3000000", "3", "0.7"}
        };
        String[] names = {"effect", "goal_time_us", "give_up_us", "points", "late_share"};
        for (int i = 0; i < types.length; i++) {
            for (int j = 0; j < names.length; j++) {
                start.put("request_classes." + i + "." + names[j], types[i][j]);
            }
        }
        start.put("fees.probe", "0.069");
        start.put("goal.whole", "0.45");
        start.put("goal.worst_class", "0.2");
        start.put("limits.max_attempts", "10");
        start.put("limits.second_copies", "true");
        start.put("limits.cancel", "true");
        start.put("limits.probes", "true");
        start.put("limits.conn_idle_us", "15000000");
        start.put("rules.warm_within_us", "18000000");
        start.put("rules.cold_share", "0.2");
        start.put("rules.fall_us", "1000000");
        start.put("rules.fall_multiple", "3");
        start.put("replicas_of_me", String.valueOf(routers(hosts)));
        start.put("round_us", "5000");
        start.put("my_zone", "0");
        return start;
    }
}
