package beaconladder.testbed;

import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Builds the config file of a router with four request classes and the hosts of one group. */
public final class RouterFile {
    private static final String REQUEST_CLASS = """
                {"name":"%s","effect":"%s","goal_time_us":500000,"give_up_us":2000000,"late_share":0.5,\
                "points":1.0}""";

    private RouterFile() {}

    /**
     * Returns the text of the file.
     *
     * @param name the name of the router
     * @param port the loopback port on which the router listens
     * @param sockets the limit on sockets
     * @param memoryMb the limit on memory, in megabytes
     * @param known the entries of hosts as last listed, joined by commas
     */
    public static String of(
            String name, int port, DiscoveryStandIn discovery, int sockets, int memoryMb, String known) {
        String requestClasses = Stream.of("any", "fresh", "own", "write")
                .map(type -> REQUEST_CLASS.formatted(type, type.equals("write") ? "side_effect" : "pure"))
                .collect(Collectors.joining(","));
        String file = """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1f",
                 "limits":{"sockets":%d,"memory_mb":%d},"known":{"version":1,"full":true,"servers":[%s]},
                 "settings":{"family_info":{"freshness":["loose","recent","own_writes","update"],
                  "oldest_data_us":[0,500000,0,0],"session_marks":"client"},"fees":{"probe":0.069},
                  "limits":{"max_attempts":10,"second_copies":true,"cancel":true,"probes":true,
                   "dial_timeout_us":250000,"conn_idle_us":3000000},
                  "load_report":{"fields":["x0","x1","rif"],"how":"inline"},"parties":[{"name":"acme"}],
                  "round_us":5000,"replicas_of_me":1,"zones":["east","west"],"request_classes":[%s]}}""";
        return file.formatted(name, port, discovery.port(), sockets, memoryMb, known, requestClasses);
    }
}
