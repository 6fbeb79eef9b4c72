package beaconladder.testbed;

import beaconladder.discovery.HttpFetcher;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** A tenant is moved to another cell, the coordinator is killed as that move ends, and later the tenant is moved back. */
public final class MoveBackCase extends ReviewCase {
    private static final int KEYS = 10;
    private static final int BUDGET_MILLIS = 1_000;
    private static final int MOVE_MILLIS = 20_000;

    private final Map<String, Long> committed = new LinkedHashMap<>();
    private long afterMillis;
    private int requests;
    private int coordinatorPort;
    private Path coordinatorLog;
    private Path plan;

    public static void main(String[] arguments) {
        main(new MoveBackCase(), arguments);
    }

    @Override
    int play() throws Exception {
        HostFleet fleet = new HostFleet(2, 3, 15);
        coordinatorPort = freePort();
        coordinatorLog = folder.resolve("keeper.log");
        plan = folder.resolve("router.plan");
        Files.writeString(
                plan,
                """
                (cell north (groups 0) (share 50%%))
                (cell south (groups 1) (share 50%%))
                (tenant acme (cell north) (share 40%%))
                (keeper (at 127.0.0.1:%d) (discovery 127.0.0.1:%d) (store "%s")
                  (lease 2s) (expiry 3s) (copy 10min) (fence 10s))
                """
                        .formatted(coordinatorPort, fleet.discovery.port(), folder.resolve("keeper-records")));
        Process coordinator = startCoordinator();
        int port = freePort();
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
        startRouter(config, folder.resolve("n0.log"), "--plan", plan.toString());
        awaitReady(port);
        say("router and coordinator are up; acme lives in north");
        try (Client client = new Client(port)) {
            writeAll(client, 1);
            move("south");
            if (trouble) {
                coordinator.destroyForcibly();
                coordinator.onExit().join();
                say("the coordinator is killed (SIGKILL), its log said: done acme from north to south");
                Thread.sleep(500);
                startCoordinator();
                say("the coordinator is started again");
            }
            Thread.sleep(2_500);
            writeAll(client, 2);
            int missingBefore = readAll(client);
            move("north");
            Thread.sleep(1_000);
            int missing = readAll(client);
            Files.readAllLines(coordinatorLog).stream()
                    .filter(line -> line.contains("acme") || line.contains("recovered") || line.contains("feed"))
                    .forEach(line -> say("coordinator's log: " + line));
            return missing + missingBefore > 0 ? BROKEN : KEPT;
        }
    }

    private Process startCoordinator() throws IOException, InterruptedException {
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

    private String ask(String path) throws IOException {
        try (HttpFetcher http = new HttpFetcher(new InetSocketAddress("127.0.0.1", coordinatorPort), true)) {
            return http.get(path, 1_000);
        }
    }

    /** Moves the tenant and waits for the line of the coordinator's log that says that it is done. */
    private void move(String to) throws Exception {
        String from = to.equals("south") ? "north" : "south";
        String line = "done acme from " + from + " to " + to;
        say("an operator moves acme to " + to + ": " + ask("/v1/move?tenant=acme&to=" + to));
        long untilMillis = System.currentTimeMillis() + MOVE_MILLIS;
        while (!Files.readString(coordinatorLog).contains(line)) {
            if (System.currentTimeMillis() > untilMillis) {
                throw new IOException("the move to " + to + " does not end: " + ask("/v1/cells"));
            }
            Thread.sleep(1);
        }
        say("the coordinator: " + line);
    }

    private void writeAll(Client client, long round) throws Exception {
        for (int i = 0; i < KEYS; i++) {
            long version = round * 1_000 + i;
            String key = "k" + i;
            for (int tries = 1; ; tries++) {
                String id = "w" + requests++;
                String answer = client.ask("INSERT INTO items (id, doc) VALUES ('" + key + "', '\\x"
                        + String.format("%016x", version) + "') RETURNING doc /* id=" + id + ",c=write,t=acme,d="
                        + BUDGET_MILLIS + ",cluster=0 */");
                if (client.value != null) {
                    break;
                }
                if (tries == 20) {
                    throw new IOException("no write of " + key + " is served: " + answer);
                }
                Thread.sleep(100);
            }
            committed.put(key, version);
        }
        afterMillis = System.currentTimeMillis();
        say("wrote version " + round + "xxx of " + KEYS + " keys, all answered as committed");
    }

    /** Reads all keys in their session; returns how many served answers are older than the session's own write. */
    private int readAll(Client client) throws Exception {
        int old = 0;
        for (Map.Entry<String, Long> each : committed.entrySet()) {
            String answer = client.ask("SELECT doc FROM items WHERE id = '" + each.getKey() + "' /* id=r" + requests++
                    + ",c=own,t=acme,d=" + BUDGET_MILLIS + ",cluster=0,after=" + afterMillis + " */");
            long read = client.value == null ? -1 : ByteBuffer.wrap(client.value).getLong();
            boolean stale = client.value != null && read < each.getValue();
            old += stale ? 1 : 0;
            say("read " + each.getKey() + ": " + (client.value == null ? answer : "version " + read)
                    + (stale ? ", its session has committed " + each.getValue() + "  <-- the write is not seen" : ""));
        }
        return old;
    }
}
