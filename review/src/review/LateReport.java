package review;

import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: a tenant is moved while a router is cut off from the coordinator for less than its lease. Every committed write has to be there
 * after the move.
 */
public final class LateReport {
    private static final int ROUNDS = 18;
    private static final int SESSIONS = 8;
    private static final int COPY_MILLIS = 1_500;
    /** When the link is cut, from the beginning of the copy, and for how long: less than the lease of 2 s. */
    private static final int ARM_MILLIS = 400;

    private static final int CUT_MILLIS = 1_150;
    /** How long after the link is back the call that was on its way arrives. */
    private static final int RETRANSMIT_MILLIS = 120;

    private static final int QUIET_MILLIS = 300;

    /** The newest committed write of a session, and when its client had the answer, in Unix milliseconds. */
    private record Written(long version, long atMillis) {}

    private static Rig rig;
    private static int coordinatorPort;
    private static int[] ports;

    public static void main(String[] arguments) throws Exception {
        rig = new Rig(Path.of(arguments[0]));
        rig.guard(LateReport::play);
    }

    private static void play() throws Exception {
        for (int number = 0; number < 2; number++) {
            HostGroup group = rig.group(number, 7 + number);
            group.copyMillis = COPY_MILLIS;
            group.meanWriteMillis = 0;
        }
        rig.list();
        coordinatorPort = Rig.freePort();
        CutLink link = new CutLink(rig, coordinatorPort);
        Path plan = plan("coordinator.plan", coordinatorPort);
        rig.start("coordinator", "exec java -jar target/beaconladder.jar cells keep --plan " + plan, Map.of());
        ports = new int[] {
            rig.router("n0", plan("n0.plan", link.port())), rig.router("n1", plan("n1.plan", coordinatorPort))
        };
        rig.awaitReady("n0", ports[0]);
        rig.awaitReady("n1", ports[1]);
        Rig.sleep(1_000);
        int lost = 0;
        int done = 0;
        String example = "";
        long lastStartNanos = System.nanoTime() + 85_000_000_000L;
        int round = 0;
        for (; round < ROUNDS && System.nanoTime() < lastStartNanos; round++) {
            String tenant = "taxi-" + round;
            Map<String, Written> committed = new ConcurrentHashMap<>();
            for (int i = 0; i < SESSIONS; i++) {
                write(ports[0], tenant, key(i), 1, committed);
            }
            rig.groups.values().forEach(group -> group.meanWriteMillis = 130);
            rig.note("move " + tenant + " to south: " + Rig.get(coordinatorPort, "/v1/move?tenant=" + tenant + "&to=south"));
            await(tenant, "copying");
            Rig.sleep(ARM_MILLIS);
            if (rig.trouble) {
                link.arm(CUT_MILLIS, RETRANSMIT_MILLIS);
            }
            Rig.sleep(QUIET_MILLIS);
            boolean[] stop = {false};
            List<Thread> sessions = new ArrayList<>();
            for (int i = 0; i < SESSIONS; i++) {
                int number = i;
                Thread session = new Thread(() -> {
                    for (long version = 2; !stop[0]; version++) {
                        try {
                            write(ports[0], tenant, key(number), version, committed);
                        } catch (IOException e) {
                            rig.note("client: " + e);
                        }
                    }
                });
                session.start();
                sessions.add(session);
            }
            String end = await(tenant, "done", "undone");
            // New writes would cover those that are missing.
            stop[0] = true;
            for (Thread session : sessions) {
                session.join();
            }
            rig.groups.values().forEach(group -> group.meanWriteMillis = 0);
            done += end.equals("done") ? 1 : 0;
            // Longer than the bound of any class, so that no read may miss a write.
            Rig.sleep(1_000);
            for (Map.Entry<String, Written> each : new TreeMap<>(committed).entrySet()) {
                Written written = each.getValue();
                long found = read(ports[0], tenant, each.getKey(), written.atMillis());
                if (found < written.version()) {
                    lost++;
                    example = tenant + "/" + each.getKey() + " was committed as " + written.version()
                            + ", after the move its session reads " + found;
                    rig.note("LOST: " + example);
                }
            }
        }
        rig.noteLog("coordinator");
        if (done == 0) {
            rig.end(Rig.COULD_NOT_RUN, "no move was done");
        }
        rig.end(
                lost > 0 ? Rig.BROKEN : Rig.HELD,
                done + " of " + round + " moves done, " + lost + " committed writes missing in the reads of their sessions; " + example);
    }

    private static String key(int number) {
        return "k" + number;
    }

    private static Path plan(String file, int port) throws IOException {
        StringBuilder text = new StringBuilder("(cell north (groups 0) (share 50%))\n(cell south (groups 1) (share 50%))\n");
        for (int round = 0; round < ROUNDS; round++) {
            text.append("(tenant taxi-").append(round).append(" (cell north))\n");
        }
        text.append("(keeper (at 127.0.0.1:" + port + ") (discovery 127.0.0.1:" + rig.discovery.port() + ") (store \""
                + rig.folder.resolve("records") + "\")\n  (lease 2s) (expiry 3s) (copy 10min) (fence 10s))\n");
        Path plan = rig.folder.resolve(file);
        Files.writeString(plan, text);
        return plan;
    }

    private static String await(String tenant, String... states) throws IOException {
        long until = System.nanoTime() + 20_000_000_000L;
        while (System.nanoTime() < until) {
            String all = Rig.get(coordinatorPort, "/v1/cells");
            for (String state : states) {
                if (all.matches("(?s).*\"tenant\":\"" + tenant + "\",\"from\":\"[a-z]*\",\"to\":\"[a-z]*\",\"state\":\"" + state
                        + "\".*")) {
                    rig.note(tenant + " is " + state);
                    return state;
                }
            }
            Rig.sleep(2);
        }
        rig.noteLog("coordinator");
        rig.end(Rig.COULD_NOT_RUN, tenant + " did not become " + String.join(" or ", states));
        return "";
    }

    private static long ids = System.nanoTime();

    private static synchronized String id() {
        return Long.toHexString(ids++);
    }

    private static void write(int port, String tenant, String key, long version, Map<String, Written> committed)
            throws IOException {
        String id = id();
        try (TestClient client = Rig.client(port)) {
            String answer = client.ask("INSERT INTO items (id, doc) VALUES ('" + key + "', '\\x"
                    + String.format("%016x", version) + "') RETURNING doc /* id=" + id + ",c=trip-book,t=" + tenant
                    + ",d=3000,cluster=0 */");
            rig.note("write " + id + " " + tenant + "/" + key + " = " + version + ": " + answer + " " + client.message);
            if (answer.contains("C:INSERT")) {
                committed.put(key, new Written(version, System.currentTimeMillis()));
            } else {
                Rig.sleep(50);
            }
        }
    }

    private static long read(int port, String tenant, String key, long after) throws IOException {
        String answer = "";
        for (int i = 0; i < 20; i++) {
            try (TestClient client = Rig.client(port)) {
                answer = client.ask("SELECT doc FROM items WHERE id = '" + key + "' /* id=" + id()
                        + ",c=my-trip,t=" + tenant + ",d=3000,cluster=0,after=" + after + " */");
            }
            rig.note("read " + tenant + "/" + key + ": " + answer);
            if (answer.contains(" D:")) {
                return Long.parseLong(answer.replaceAll("(?s).* D:([0-9a-f]+).*", "$1"), 16);
            }
            Rig.sleep(100);
        }
        throw new IOException("no read is answered: " + answer);
    }
}
