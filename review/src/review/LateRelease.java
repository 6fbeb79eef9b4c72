package review;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Case: a holder gives its lease up for another process, and this message is late. Meanwhile it has become the holder
 * again. At no time may two processes act.
 */
public final class LateRelease {
    private static final String TASK = "warm-up";
    private static final int SERVERS = 3;
    private static final int HOLDERS = 6;
    private static final int LENGTH_MILLIS = 2_000;
    private static final int CLOCK_MILLIS = 100;
    private static final int LATE_MILLIS = 6_500;
    private static final int CYCLES = 12;

    /**
     * How long after the next holder's first act an act of the holder before does not count: a holder stand-in acts up to
     * 25 ms after its look at the lease.
     */
    private static final long SLACK_NANOS = 200_000_000L;

    /** An operation that arrived at the resource. */
    private record Act(long atNanos, String holder, long token) {}

    private static Rig rig;
    private static final List<Act> ACTS = new ArrayList<>();
    private static volatile boolean armed;
    private static volatile boolean delivered;
    /** The number of messages of h0 that have gone on. */
    private static volatile int passed;
    private static final int[] HTTP_PORTS = new int[SERVERS];
    private static final int[] RAFT_PORTS = new int[SERVERS];

    public static void main(String[] arguments) throws Exception {
        rig = new Rig(Path.of(arguments[0]));
        rig.guard(LateRelease::play);
    }

    private static void play() throws Exception {
        int resource = resource();
        int[] proxies = new int[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            HTTP_PORTS[i] = Rig.freePort();
            RAFT_PORTS[i] = Rig.freePort();
            proxies[i] = proxy(HTTP_PORTS[i]);
        }
        String program = "exec java -Xmx128m -cp 'target/beaconladder.jar:target/grantors/*' beaconladder.app.Main ";
        Path plan = plan("servers.plan", HTTP_PORTS);
        Path planOfFirst = plan("h0.plan", proxies);
        for (int i = 0; i < SERVERS; i++) {
            rig.start("k" + i, program + "lease grant --plan " + plan + " --name k" + i, Map.of());
        }
        for (int i = 0; i < HOLDERS; i++) {
            rig.start(
                    "h" + i,
                    program + "lab holder --plan " + (i == 0 ? planOfFirst : plan) + " --name h" + i + " --task " + TASK
                            + " --resources 127.0.0.1:" + resource,
                    Map.of());
        }
        long until = System.nanoTime() + 40_000_000_000L;
        while (newest() == null) {
            if (System.nanoTime() > until) {
                rig.noteLog("k0");
                rig.end(Rig.COULD_NOT_RUN, "nobody acts");
            }
            Rig.sleep(50);
        }
        String broken = null;
        int cycle = 0;
        long endNanos = System.nanoTime() + 80_000_000_000L;
        for (; cycle < CYCLES && broken == null && System.nanoTime() < endNanos; cycle++) {
            handOver("h0");
            delivered = false;
            armed = rig.trouble;
            handOver("h1");
            armed = false;
            handOver("h0");
            for (int i = 0; rig.trouble && !delivered && i < 600; i++) {
                Rig.sleep(25);
            }
            Rig.sleep(1_500);
            broken = broken();
        }
        for (int i = 0; i < HOLDERS; i++) {
            rig.noteLog("h" + i, "renewing");
        }
        broken = broken();
        noteActs();
        if (broken != null) {
            rig.end(Rig.BROKEN, broken);
        }
        rig.end(Rig.HELD, ACTS.size() + " acts in " + cycle + " cycles, never of two holders at a time");
    }

    /** Has the task handed over by the operators' command, and waits until its heir acts. */
    private static void handOver(String heir) throws Exception {
        Act last = newest();
        if (last != null && last.holder().startsWith(heir + ".") && System.nanoTime() - last.atNanos() < 200_000_000L) {
            return;
        }
        Process command = rig.start(
                "hand-over",
                "exec java -jar target/beaconladder.jar lease hand-over --plan " + rig.folder.resolve("servers.plan") + " "
                        + TASK + " " + heir,
                Map.of());
        command.waitFor(10, TimeUnit.SECONDS);
        long until = System.nanoTime() + 10_000_000_000L;
        while (!newest().holder().startsWith(heir + ".")) {
            if (System.nanoTime() > until) {
                rig.note(heir + " does not act 10 s after the hand-over");
                return;
            }
            Rig.sleep(10);
        }
        rig.note(heir + " acts under token " + newest().token());
    }

    private static Act newest() {
        synchronized (ACTS) {
            return ACTS.isEmpty() ? null : ACTS.get(ACTS.size() - 1);
        }
    }

    /** Returns where a process acts after one with a later token has; null for nowhere. */
    private static String broken() {
        synchronized (ACTS) {
            Act newest = null;
            int count = 0;
            long span = 0;
            String example = null;
            long first = ACTS.get(0).atNanos();
            Act firstOfNewest = null;
            for (Act act : ACTS) {
                if (newest == null || act.token() > newest.token()) {
                    firstOfNewest = act;
                    newest = act;
                } else if (act.token() < newest.token()
                        && !act.holder().equals(newest.holder())
                        && act.atNanos() - firstOfNewest.atNanos() > SLACK_NANOS) {
                    count++;
                    long since = act.atNanos() - firstOfNewest.atNanos();
                    span = Math.max(span, since);
                    if (example == null) {
                        example = act.holder() + " acts under token " + act.token() + " " + since / 1_000_000
                                + " ms after " + newest.holder() + " first acted under token " + newest.token() + ", at "
                                + (act.atNanos() - first) / 1_000_000 + " ms of the acts";
                    }
                }
            }
            return example == null
                    ? null
                    : count + " acts of one holder after the first of the next, up to " + span / 1_000_000
                            + " ms later; the first: " + example;
        }
    }

    private static void noteActs() {
        synchronized (ACTS) {
            long first = ACTS.get(0).atNanos();
            for (Act act : ACTS) {
                rig.note("act at " + (act.atNanos() - first) / 1_000_000 + " ms of the acts: " + act.holder() + " token "
                        + act.token());
            }
        }
    }

    /** Starts a resource without a fence, which time alone protects; returns its port. */
    private static int resource() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/act", exchange -> {
            Map<String, String> query = new HashMap<>();
            for (String pair : exchange.getRequestURI().getQuery().split("&")) {
                query.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
            }
            synchronized (ACTS) {
                ACTS.add(new Act(System.nanoTime(), query.get("holder"), Long.parseLong(query.get("token"))));
            }
            byte[] body = "ADMITTED".getBytes(StandardCharsets.US_ASCII);
            try (exchange) {
                exchange.sendResponseHeaders(200, body.length);
                exchange.getResponseBody().write(body);
            }
        });
        server.start();
        return server.getAddress().getPort();
    }

    private static Path plan(String file, int[] http) throws IOException {
        StringBuilder text =
                new StringBuilder("(leases (length " + LENGTH_MILLIS + "ms) (clock " + CLOCK_MILLIS + "ms) (disk 8MB))\n");
        for (int i = 0; i < SERVERS; i++) {
            text.append("(grantor k" + i + " (raft 127.0.0.1:" + RAFT_PORTS[i] + ") (at 127.0.0.1:" + http[i]
                    + ") (store \"" + rig.folder.resolve("store" + i) + "\"))\n");
        }
        Path plan = rig.folder.resolve(file);
        Files.writeString(plan, text);
        return plan;
    }

    // ---- The link of h0 to a lease server

    private static int proxy(int target) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(() -> {
            while (true) {
                Socket holder = listener.accept();
                daemon(() -> relay(holder, target));
            }
        });
        return listener.getLocalPort();
    }

    private static void relay(Socket holder, int target) throws IOException {
        try (holder;
                Socket server = new Socket(InetAddress.getLoopbackAddress(), target)) {
            holder.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            daemon(() -> {
                try (holder;
                        server) {
                    server.getInputStream().transferTo(holder.getOutputStream());
                }
            });
            for (byte[] ask = head(holder.getInputStream()); ask != null; ask = head(holder.getInputStream())) {
                String line = URLDecoder.decode(new String(ask).split("\r\n")[0], StandardCharsets.UTF_8);
                if (armed && line.contains("\"RELEASE\"")) {
                    armed = false;
                    rig.note("link: late by " + LATE_MILLIS + " ms: " + line);
                    Rig.sleep(LATE_MILLIS);
                    // It comes behind one of the holder's later messages, which go on as they are sent.
                    int seen = passed;
                    for (int i = 0; i < 200 && passed == seen; i++) {
                        Rig.sleep(5);
                    }
                    Rig.sleep(5);
                    server.getOutputStream().write(ask);
                    rig.note("link: the late release arrives");
                    delivered = true;
                    Rig.sleep(1_000);
                    return;
                }
                server.getOutputStream().write(ask);
                passed++;
            }
        }
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection is at its end.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static byte[] head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        for (int each = in.read(); each >= 0; each = in.read()) {
            head.write(each);
            byte[] bytes = head.toByteArray();
            int n = bytes.length;
            if (n >= 4 && bytes[n - 4] == '\r' && bytes[n - 3] == '\n' && bytes[n - 2] == '\r' && bytes[n - 1] == '\n') {
                return bytes;
            }
        }
        return null;
    }
}
