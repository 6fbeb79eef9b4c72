package beaconladder.testbed.soak;

import java.util.Arrays;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The configuration file of a router in the soak. */
final class SoakConfiguration {
    private static final String REQUEST_CLASS = """
                {"name":"%s","effect":"%s","dedup_scope":"cell","key_ttl_us":%d,"goal_time_us":500000,\
                "give_up_us":%d,"late_share":0.5,"points":1.0}""";
    static final int GRACE_MILLIS = 1_500;
    /** The maximum number of descriptors of a router, its own files included. */
    static final int MAX_DESCRIPTORS = 256;

    static final int WARM_MILLIS = 3_000;

    private SoakConfiguration() {}

    /**
     * The file's text.
     *
     * @param discovery the port of discovery's agent
     * @param known the entries of hosts, joined by commas
     */
    static String of(String name, int port, int discovery, SoakPlan plan, String known) {
        String classes = Arrays.stream(RequestKind.values())
                .map(kind -> REQUEST_CLASS.formatted(
                        kind.label, kind.effect, RequestKind.DEDUPLICATION_MILLIS * 1_000L, kind.budgetMillis * 1_000L))
                .collect(Collectors.joining(","));
        String file = """
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
        return file.formatted(
                name,
                port,
                discovery,
                port * 2654435761L,
                MAX_DESCRIPTORS,
                known,
                quoted(kind -> kind.freshness),
                RequestKind.BOUND_MILLIS * 1_000,
                GRACE_MILLIS * 1_000,
                WARM_MILLIS * 1_000,
                plan.routers(),
                plan.asks() ? "ask" : "push",
                classes);
    }

    private static String quoted(Function<RequestKind, String> of) {
        return Arrays.stream(RequestKind.values())
                .map(kind -> "\"" + of.apply(kind) + "\"")
                .collect(Collectors.joining(","));
    }
}
