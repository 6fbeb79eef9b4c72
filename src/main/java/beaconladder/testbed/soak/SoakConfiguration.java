package beaconladder.testbed.soak;

import java.util.Arrays;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Builds the configuration file of a router in the soak. */
final class SoakConfiguration {
    private static final String REQUEST_CLASS = """
                {"name":"%s","effect":"%s","dedup_scope":"cell","key_ttl_us":%d,"goal_time_us":500000,\
                "give_up_us":%d,"late_share":0.5,"points":1.0}""";
    /** How long a router may still send to a host that is listed as leaving. */
    static final int DRAIN_GRACE_MILLIS = 1_500;
    /** The maximum number of descriptors of a router, its own files included. */
    static final int MAX_DESCRIPTORS = 256;

    /** How long a host that has started stays in slow start. */
    static final int SLOW_START_MILLIS = 3_000;

    /** 2^32 divided by the golden ratio, to derive well-spread seeds from ports. */
    private static final long SEED_MULTIPLIER = 2654435761L;

    private SoakConfiguration() {}

    /**
     * Returns the text of the file.
     *
     * @param discoveryPort the port of the router's discovery agent
     * @param hostEntries the entries of the hosts in the endpoint list, joined by commas
     */
    static String of(String name, int port, int discoveryPort, SoakPlan plan, String hostEntries) {
        String classes = Arrays.stream(RequestKind.values())
                .map(kind -> REQUEST_CLASS.formatted(
                        kind.label, kind.effect, RequestKind.DEDUPLICATION_MILLIS * 1_000L, kind.budgetMillis * 1_000L))
                .collect(Collectors.joining(","));
        String template = """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%x",
                 "limits":{"cores":0.5,"sockets":%d,"memory_mb":160},
                 "known":{"version":1,"full":true,"servers":[%s]},
                 "settings":{"family_info":{"freshness":[%s],"oldest_data_us":[0,%d,0,0,0],
                  "session_marks":"client"},"fees":{"probe":0.069},
                  "rules":{"drain_grace_us":%d,"warm_within_us":%d,"cold_share":0.2,"fall_us":1000000},
                  "limits":{"max_attempts":6,"second_copies":true,"cancel":true,"probes":true,
                   "dial_timeout_us":250000,"conn_idle_us":3000000},
                  "load_report":{"fields":["x0","x1","rif"],"how":"inline"},"parties":[{"name":"acme"}],
                  "round_us":5000,"replicas_of_me":%d,
                  "discovery":"%s","zones":["east","west"],"request_classes":[%s]}}""";
        return template.formatted(
                name,
                port,
                discoveryPort,
                port * SEED_MULTIPLIER,
                MAX_DESCRIPTORS,
                hostEntries,
                quotedList(kind -> kind.freshness),
                RequestKind.BOUND_MILLIS * 1_000,
                DRAIN_GRACE_MILLIS * 1_000,
                SLOW_START_MILLIS * 1_000,
                plan.routers(),
                plan.pollsDiscovery() ? "ask" : "push",
                classes);
    }

    private static String quotedList(Function<RequestKind, String> property) {
        return Arrays.stream(RequestKind.values())
                .map(kind -> "\"" + property.apply(kind) + "\"")
                .collect(Collectors.joining(","));
    }
}
