package beaconladder.plan;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/** Reads the section on the coordinator. */
final class CoordinatorSection extends PlanSection {
    CoordinatorSection(PlanDraft draft) {
        super(draft);
    }

    void readCoordinator(SyntaxNode list) {
        InetSocketAddress address = null;
        InetSocketAddress discovery = null;
        String store = null;
        Map<String, Long> times = new HashMap<>(Map.of(
                "lease",
                2_000 * NANOS_PER_MILLI,
                "expiry",
                3_000 * NANOS_PER_MILLI,
                "copy",
                600_000 * NANOS_PER_MILLI,
                "fence",
                10_000 * NANOS_PER_MILLI));
        for (SyntaxNode item : options(list, 1, "at", "discovery", "store", "lease", "expiry", "copy", "fence")) {
            switch (item.head()) {
                case "at" -> address = address(singleValue(item));
                case "discovery" -> discovery = address(singleValue(item));
                case "store" -> store = word(singleValue(item));
                default -> {
                    double nanos = measure(
                            singleValue(item), NANOS_BY_UNIT, "a time with its unit, such as 500ms, 2s or 1min");
                    times.put(item.head(), (long) nanos);
                    draft.positions.put(item.head(), item);
                    if (nanos >= 0 && (nanos < 50e6 || nanos > 86_400e9)) {
                        error(item, item.head() + " lies between 50ms and 24h");
                    }
                }
            }
        }
        if (address == null) {
            error(list, "a keeper needs (at ADDRESS:PORT)");
        }
        if (discovery == null) {
            error(list, "a keeper needs (discovery ADDRESS:PORT)");
        }
        if (store == null) {
            error(list, "a keeper needs (store \"FOLDER\")");
        }
        if (draft.coordinator != null) {
            error(list, "there is one keeper, and it is stated already");
        }
        if (times.get("fence") < times.get("lease") + times.get("expiry")) {
            error(
                    draft.positions.getOrDefault("fence", draft.positions.getOrDefault("lease", list)),
                    "the fence ("
                            + times.get("fence") / NANOS_PER_MILLI
                            + "ms) must not end before the lease and the expiry have passed ("
                            + (times.get("lease") + times.get("expiry")) / NANOS_PER_MILLI
                            + "ms), or a move could never finish while"
                            + " a router is silent");
        }
        draft.coordinator = new Plan.Coordinator(
                address,
                discovery,
                store,
                times.get("lease"),
                times.get("expiry"),
                times.get("copy"),
                times.get("fence"));
    }
}
