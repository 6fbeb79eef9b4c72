package beaconladder.testbed;

import beaconladder.discovery.HttpFetcher;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the two cases of moves share: a router and a coordinator, two cells of three hosts each, and a client whose sessions
 * write and read, of one tenant or another.
 */
abstract class CellCase extends ReviewCase {
    private static final int KEYS = 10;
    private static final int BUDGET_MILLIS = 1_000;
    private static final int MOVE_MILLIS = 20_000;

    /** The newest committed version by tenant and key. */
    private final Map<String, Map<String, Long>> committed = new LinkedHashMap<>();

    private final List<String> tenants;
    private long afterMillis;
    private int requests;
    private HostFleet fleet;
    private int coordinatorPort;
    Path coordinatorLog;
    Path routerLog;
    Path plan;

    Process coordinator;
    Process router;
    int port;

    /** The plan: all tenants live in north at first; what their lines say further is stated. */
    String planText(String further) throws IOException {
        StringBuilder tenantLines = new StringBuilder();
        for (String tenant : tenants) {
            tenantLines.append("(tenant ").append(tenant).append(" (cell north) (share 10%)").append(further).append(")\n");
        }
        return tenantLines + """
                (cell north (groups 0) (share 50%%))
                (cell south (groups 1) (share 50%%))
                (keeper (at 127.0.0.1:%d) (discovery 127.0.0.1:%d) (store "%s")
                  (lease 2s) (expiry 3s) (copy 10min) (fence 10s))
                """
                .formatted(coordinatorPort, fleet.discovery.port(), folder.resolve("keeper-records"));
    }

    CellCase(String... tenants) {
        this.tenants = List.of(tenants);
    }

    void setUp() throws Exception {
        fleet = new HostFleet(2, 3, 15);
        coordinatorPort = freePort();
        coordinatorLog = folder.resolve("keeper.log");
        routerLog = folder.resolve("n0.log");
        plan = folder.resolve("router.plan");
        Files.writeString(plan, planText(""));
        coordinator = startCoordinator();
        port = freePort();
        Path config = folder.resolve("n0.json");
        Files.writeString(
                config,
                """
                {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"version":0,"full":true,"servers":[]},
                 "settings":{"family_info":{"freshness":["own_writes","update"],"session_marks":"client"},
                  "limits":{"probes":true,"cancel":true,"second_copies":true,"max_attempts":10,
                   "dial_timeout_us":250000,"conn_idle_us":15000000},
                  "load_report":{"fields":["x0","x1","rif"],"how":"inline"},"fees":{"probe":0.069},
                  "round_us":5000,"replicas_of_me":1,"zones":["east"],"parties":[{"name":"acme"}],
                  "request_classes":[
                   {"name":"own","effect":"pure","goal_time_us":500000,"give_up_us":1000000,"points":1,
                    "late_share":0.5},
                   {"name":"write","effect":"side_effect","goal_time_us":500000,"give_up_us":1000000,"points":3,
                    "late_share":0.5}]}}"""
                        .formatted(port, fleet.discovery.port()));
        router = startRouter(config, routerLog, "--plan", plan.toString());
        awaitReady(port);
        say("router and coordinator are up; all tenants live in north");
    }

    Process startCoordinator() throws IOException, InterruptedException {
        Process process = start(
                "java -jar target/beaconladder.jar cells keep --plan " + plan, null, coordinatorLog);
        for (int i = 0; i < 500; i++) {
            try {
                ask("/v1/cells");
                return process;
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        throw new IOException("the coordinator does not answer");
    }

    String ask(String path) throws IOException {
        try (HttpFetcher http = new HttpFetcher(new InetSocketAddress("127.0.0.1", coordinatorPort), true)) {
            return http.get(path, 1_000);
        }
    }

    /** Moves the tenant and waits for the line of the coordinator's log that says that it is done. */
    void move(String tenant, String to) throws Exception {
        String from = to.equals("south") ? "north" : "south";
        String line = "done " + tenant + " from " + from + " to " + to;
        say("an operator moves " + tenant + " to " + to + ": " + ask("/v1/move?tenant=" + tenant + "&to=" + to));
        long untilMillis = System.currentTimeMillis() + MOVE_MILLIS;
        while (!Files.readString(coordinatorLog).contains(line)) {
            if (System.currentTimeMillis() > untilMillis) {
                throw new IOException("the move to " + to + " does not end: " + ask("/v1/cells"));
            }
            Thread.sleep(1);
        }
        say("the coordinator: " + line);
    }

    void writeAll(Client client, String tenant, long round) throws Exception {
        for (int i = 0; i < KEYS; i++) {
            long version = round * 1_000 + i;
            String key = "k" + i;
            for (int tries = 1; ; tries++) {
                String id = "w" + requests++;
                String answer = client.ask("INSERT INTO items (id, doc) VALUES ('" + key + "', '\\x"
                        + String.format("%016x", version) + "') RETURNING doc /* id=" + id + ",c=write,t=" + tenant + ",d="
                        + BUDGET_MILLIS + ",cluster=0 */");
                if (client.value != null) {
                    break;
                }
                if (tries == 20) {
                    throw new IOException("no write of " + key + " is served: " + answer);
                }
                Thread.sleep(100);
            }
            committed.computeIfAbsent(tenant, t -> new LinkedHashMap<>()).put(key, version);
        }
        afterMillis = System.currentTimeMillis();
        say("wrote version " + round + "xxx of " + KEYS + " keys of " + tenant + ", all answered as committed");
    }

    /** Reads all keys in their session; returns how many served answers are older than the session's own write. */
    int readAll(Client client, String tenant) throws Exception {
        int old = 0;
        for (Map.Entry<String, Long> each : committed.get(tenant).entrySet()) {
            String answer = client.ask("SELECT doc FROM items WHERE id = '" + each.getKey() + "' /* id=r" + requests++
                    + ",c=own,t=" + tenant + ",d=" + BUDGET_MILLIS + ",cluster=0,after=" + afterMillis + " */");
            long read = client.value == null ? -1 : ByteBuffer.wrap(client.value).getLong();
            boolean stale = client.value != null && read < each.getValue();
            old += stale ? 1 : 0;
            say("read " + tenant + "/" + each.getKey() + ": " + (client.value == null ? answer : "version " + read)
                    + (stale ? ", its session has committed " + each.getValue() + "  <-- the write is not seen" : ""));
        }
        return old;
    }
}
