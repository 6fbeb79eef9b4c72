package beaconladder.server;

import java.util.HashMap;
import java.util.Map;

/** Maps the names of request classes and tenants to their indexes in the settings. */
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

    /** Returns the index of the request class with this name, or null if there is none. */
    Integer requestClassIndex(String name) {
        return requestClasses.get(name);
    }

    /** Returns the index of the tenant with this name, or -1 if there is none. */
    int tenantIndex(String name) {
        return tenants.getOrDefault(name, UNKNOWN_TENANT);
    }
}
