package beaconladder.server;

import java.util.HashMap;
import java.util.Map;

/** Maps the names of request classes and tenants to their positions in the settings. */
final class SettingIndex {
    private static final int UNKNOWN_TENANT = -1;

    private final Map<String, Integer> requestClasses;
    private final Map<String, Integer> tenants;

    SettingIndex(Map<String, String> settings) {
        requestClasses = indexByName(settings, "request_classes");
        tenants = indexByName(settings, "parties");
    }

    private static Map<String, Integer> indexByName(Map<String, String> settings, String list) {
        Map<String, Integer> indexes = new HashMap<>();
        int count = Integer.parseInt(settings.getOrDefault(list + ".count", "0"));
        for (int i = 0; i < count; i++) {
            indexes.put(settings.getOrDefault(list + "." + i + ".name", String.valueOf(i)), i);
        }
        return indexes;
    }

    /** The position of the request class of this name, or null where there is none. */
    Integer typeIndex(String name) {
        return requestClasses.get(name);
    }

    /** The position of the tenant of this name; less than 0 where there is none. */
    int tenantIndex(String name) {
        return tenants.getOrDefault(name, UNKNOWN_TENANT);
    }
}
