package beaconladder.server;

import java.util.HashMap;
import java.util.Map;

/** Which place a txn type or a tenant has in the settings, by its name. */
final class SettingIndex {
    private final Map<String, Integer> types;
    private final Map<String, Integer> tenants;

    SettingIndex(Map<String, String> start) {
        types = places(start, "request_classes");
        tenants = places(start, "parties");
    }

    private static Map<String, Integer> places(Map<String, String> start, String list) {
        Map<String, Integer> places = new HashMap<>();
        int count = Integer.parseInt(start.getOrDefault(list + ".count", "0"));
        for (int i = 0; i < count; i++) {
            places.put(start.getOrDefault(list + "." + i + ".name", String.valueOf(i)), i);
        }
        return places;
    }

    /** Null where there is no such type. */
    Integer typeIndex(String name) {
        return types.get(name);
    }

    /** Less than 0 where there is no such tenant. */
    int tenantIndex(String name) {
        return tenants.getOrDefault(name, -1);
    }
}
