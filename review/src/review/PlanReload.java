package review;

import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * Case: a plan that states a tenant which was unstated so far is put in force by SIGHUP. Each session has to read what it
 * has written. KEEPER=1: with a coordinator.
 */
public final class PlanReload {
    private static final int SESSIONS = 16;
    private static final String TENANT = "delta";

    private record Written(long version, long position) {}

    private static Rig rig;
    private static boolean withCoordinator;
    private static int coordinatorPort;
    private static int ids;

    public static void main(String[] arguments) throws Exception {
        rig = new Rig(Path.of(arguments[0]));
        rig.guard(PlanReload::play);
    }

    private static void play() throws Exception {
        withCoordinator = "1".equals(System.getenv("KEEPER"));
        rig.group(0, 7);
        rig.group(1, 8);
        rig.list();
        coordinatorPort = Rig.freePort();
        Path plan = rig.folder.resolve("router.plan");
        Files.writeString(plan, plan(""));
        if (withCoordinator) {
            rig.start("coordinator", "exec java -jar target/beaconladder.jar cells keep --plan " + plan, Map.of());
        }
        int[] ports = {rig.router("n0", plan), rig.router("n1", plan)};
        for (int i = 0; i < ports.length; i++) {
            rig.awaitReady("n" + i, ports[i]);
        }
        Rig.sleep(1_000);
        Map<String, Written> committed = new TreeMap<>();
        for (int i = 0; i < SESSIONS; i++) {
            String key = String.format("%016x", 0x7f3a9c21e0b4d600L + i);
            String id = id();
            try (TestClient client = Rig.client(ports[0])) {
                String answer = client.ask("INSERT INTO items (id, doc) VALUES ('" + key + "', '\\x"
                        + String.format("%016x", i + 1) + "') RETURNING doc /* id=" + id + ",c=trip-book,t=" + TENANT
                        + ",d=3000,cluster=0 */");
                rig.note("write " + id + " " + key + ": " + answer + " " + client.message);
                if (answer.contains("C:INSERT")) {
                    committed.put(key, new Written(i + 1, System.currentTimeMillis()));
                }
            }
        }
        if (committed.size() < SESSIONS) {
            rig.end(Rig.COULD_NOT_RUN, "only " + committed.size() + " of " + SESSIONS + " writes were committed");
        }
        Rig.sleep(200);
        check("before the reload", ports, committed, Rig.COULD_NOT_RUN);
        // Without the disruption the same file is read again.
        Files.writeString(plan, plan(rig.trouble ? "(tenant " + TENANT + " (cell south) (share 20%))\n" : ""));
        rig.note("the plan: " + Files.readString(plan).replace("\n", " ").replace(rig.folder.toString(), "WORK"));
        if (withCoordinator) {
            rig.signal("coordinator", "HUP");
        }
        for (int i = 0; i < ports.length; i++) {
            rig.signal("n" + i, "HUP");
        }
        long until = System.nanoTime() + 10_000_000_000L;
        while (!(rig.log("n0").contains("reloaded") && rig.log("n1").contains("reloaded"))) {
            if (System.nanoTime() > until) {
                rig.end(Rig.COULD_NOT_RUN, "a router says nothing of the reload");
            }
            Rig.sleep(50);
        }
        Rig.sleep(2_000);
        for (int i = 0; i < ports.length; i++) {
            rig.noteLog("n" + i);
        }
        check("after the reload", ports, committed, Rig.BROKEN);
        rig.end(Rig.HELD, "each of " + SESSIONS + " sessions reads its own write");
    }

    private static void check(String when, int[] ports, Map<String, Written> committed, int code) throws IOException {
        int stale = 0;
        String example = "";
        for (Map.Entry<String, Written> each : committed.entrySet()) {
            Written written = each.getValue();
            String answer = "";
            for (int i = 0; i < 20 && !answer.contains(" D:"); i++) {
                String id = id();
                try (TestClient client = Rig.client(ports[0])) {
                    answer = client.ask("SELECT doc FROM items WHERE id = '" + each.getKey() + "' /* id=" + id
                            + ",c=my-trip,t=" + TENANT + ",d=3000,cluster=0,after=" + written.position() + " */");
                    rig.note(when + ": read " + id + " " + each.getKey() + ": " + answer + " " + client.message);
                }
                Rig.sleep(answer.contains(" D:") ? 0 : 100);
            }
            if (!answer.contains(" D:")) {
                rig.end(Rig.COULD_NOT_RUN, "a read is not served: " + answer);
            }
            long found = Long.parseLong(answer.replaceAll("(?s).* D:([0-9a-f]+).*", "$1"), 16);
            if (found < written.version()) {
                stale++;
                example = "session " + each.getKey() + " was committed as " + written.version() + " and reads " + found;
            }
        }
        if (stale > 0) {
            rig.end(code, when + " " + stale + " of " + SESSIONS + " sessions don't read their own write; " + example);
        }
    }

    private static String id() {
        return "5c7e2d41" + Integer.toHexString(0x1000 + ids++);
    }

    private static String plan(String more) {
        return "(cell north (groups 0) (share 50%))\n(cell south (groups 1) (share 50%))\n"
                + "(tenant acme (cell north) (share 40%))\n" + more + "(others (spread 2) (share 10%))\n"
                + (withCoordinator
                        ? "(keeper (at 127.0.0.1:" + coordinatorPort + ") (discovery 127.0.0.1:" + rig.discovery.port()
                                + ") (store \"" + rig.folder.resolve("records")
                                + "\")\n  (lease 2s) (expiry 3s) (copy 10min) (fence 10s))\n"
                        : "");
    }
}
