package beaconladder.testbed;

import beaconladder.discovery.HttpFetcher;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What the two cases of moves share: a router and a coordinator, two cells of three hosts each, and a client whose sessions
 * write and read, of one tenant or another.
 */
abstract class CellCase extends ReviewCase {
    private static final int KEYS = 10;
    private static final int BUDGET_MILLIS = 3_000;
    private static final int PAUSE_MILLIS = 5;
    /** How many old reads during a move are noted one by one. */
    private static final int MAX_NOTED = 10;
    private static final int MOVE_MILLIS = 20_000;

    /** The newest committed version by tenant and key. */
    private final Map<String, Map<String, Long>> committed = new LinkedHashMap<>();

    private final List<String> tenants;
    /** When the newest write of a tenant's key was answered, which is not before its commit. */
    private final Map<String, Long> answeredMillis = new ConcurrentHashMap<>();

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger noted = new AtomicInteger();
    HostFleet fleet;
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
                   {"name":"my-trip","effect":"pure","goal_time_us":750000,"give_up_us":3000000,"points":1,
                    "late_share":0.2},
                   {"name":"trip-book","effect":"side_effect","goal_time_us":1000000,"give_up_us":3000000,"points":3,
                    "late_share":0.7}]}}"""
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
            for (int tries = 1; !write(client, tenant, "k" + i, round * 1_000 + i); tries++) {
                if (tries == 20) {
                    throw new IOException("no write of k" + i + " is served: " + client.code);
                }
                Thread.sleep(100);
            }
        }
        say("wrote version " + round + "xxx of " + KEYS + " keys of " + tenant + ", all answered as committed");
    }

    /** Writes a key; returns whether the write was answered as committed. */
    private boolean write(Client client, String tenant, String key, long version) throws IOException {
        client.ask("INSERT INTO items (id, doc) VALUES ('" + key + "', '\\x" + String.format("%016x", version)
                + "') RETURNING doc /* id=w" + requests.getAndIncrement() + ",c=trip-book,t=" + tenant + ",d=" + BUDGET_MILLIS
                + ",cluster=0 */");
        if (client.value == null) {
            return false;
        }
        committed.computeIfAbsent(tenant, t -> new ConcurrentSkipListMap<>()).put(key, version);
        answeredMillis.put(tenant + "/" + key, System.currentTimeMillis());
        return true;
    }

    /** Reads a key in its session; returns whether the answer was served and is older than the session's own write. */
    private boolean readsOld(Client client, String tenant, String key, boolean quiet) throws IOException {
        String answer = client.ask("SELECT doc FROM items WHERE id = '" + key + "' /* id=r" + requests.getAndIncrement()
                + ",c=my-trip,t=" + tenant + ",d=" + BUDGET_MILLIS + ",cluster=0,after="
                + answeredMillis.get(tenant + "/" + key) + " */");
        long read = client.value == null ? -1 : ByteBuffer.wrap(client.value).getLong();
        long own = committed.get(tenant).get(key);
        boolean old = client.value != null && read < own;
        if (!quiet || old && noted.getAndIncrement() < MAX_NOTED) {
            say("read " + tenant + "/" + key + ": " + (client.value == null ? answer : "version " + read)
                    + (old ? ", its session has committed " + own + "  <-- the write is not seen" : ""));
        }
        return old;
    }

    /**
     * Moves the tenant while its sessions go on, each on a connection of its own: one key each, written and read in turn.
     * Returns how many served answers were older than their session's own write.
     */
    int moveUnderLoad(String tenant, String to) throws Exception {
        AtomicBoolean ended = new AtomicBoolean();
        AtomicInteger old = new AtomicInteger();
        AtomicInteger reads = new AtomicInteger();
        List<Thread> sessions = new ArrayList<>();
        for (String key : committed.get(tenant).keySet()) {
            sessions.add(StandInThreads.spawn(() -> {
                try (Client client = new Client(port)) {
                    while (!ended.get()) {
                        write(client, tenant, key, committed.get(tenant).get(key) + 1_000);
                        old.addAndGet(readsOld(client, tenant, key, true) ? 1 : 0);
                        reads.incrementAndGet();
                        Thread.sleep(PAUSE_MILLIS);
                    }
                }
            }));
        }
        Thread.sleep(500);
        move(tenant, to);
        Thread.sleep(500);
        ended.set(true);
        for (Thread session : sessions) {
            session.join();
        }
        say(reads + " reads during the move, " + old + " of them older than their session's own write");
        return old.get();
    }

    /** Reads all keys in their session; returns how many served answers are older than the session's own write. */
    int readAll(Client client, String tenant) throws Exception {
        int old = 0;
        for (String key : committed.get(tenant).keySet()) {
            old += readsOld(client, tenant, key, false) ? 1 : 0;
        }
        return old;
    }
}
