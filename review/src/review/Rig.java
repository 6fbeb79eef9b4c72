package review;

import beaconladder.testbed.DiscoveryStandIn;
import beaconladder.testbed.TestClient;
import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases share: processes of the project by the commands of deploy/balancer.toml and README.md, groups of host
 * stand-ins behind a discovery stand-in, clients, and the record.
 */
final class Rig implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final PrintWriter record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final DiscoveryStandIn discovery = new DiscoveryStandIn();
    final Map<Integer, HostGroup> groups = new LinkedHashMap<>();
    private final long startNanos = System.nanoTime();
    private final Map<String, Process> processes = new LinkedHashMap<>();

    Rig(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        discovery.waitMillis = 20_000;
        // Whatever happens, no process outlives this one.
        Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
        Thread limit = new Thread(() -> {
            sleep(112_000);
            note("over time: the case could not run");
            record.flush();
            cleanUp();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        note((trouble ? "with" : "without") + " the disruption");
    }

    // ---- The record

    synchronized void note(String line) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
        record.flush();
    }

    /** Notes the verdict, prints it and ends this process. */
    void end(int code, String verdict) {
        note("verdict " + code + ": " + verdict);
        System.out.println((code == HELD ? "HELD: " : code == BROKEN ? "BROKEN: " : "COULD NOT RUN: ") + verdict);
        try {
            close();
        } catch (IOException e) {
            note("closing: " + e);
        }
        System.exit(code);
    }

    /** The play of a case. */
    interface Play {
        void run() throws Exception;
    }

    /** Runs the play; one that fails itself is a case that could not run. */
    void guard(Play play) {
        try {
            play.run();
        } catch (Exception | Error e) {
            end(COULD_NOT_RUN, "the case itself failed: " + e);
        }
    }

    // ---- Processes

    /** Returns the run line of the deploy file, with arguments behind it. */
    String run(String arguments) throws IOException {
        Matcher line = Pattern.compile("(?m)^run = \"([^\"]*)\"")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("no run line in deploy/balancer.toml");
        }
        return line.group(1) + arguments;
    }

    /** Starts a command as the deploy page says: by a shell, from the root; its output goes to a file of the work folder. */
    Process start(String name, String command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        builder.environment().putAll(environment);
        Process process = builder.start();
        synchronized (processes) {
            processes.put(name, process);
        }
        note("started " + name + ": " + command.replaceAll(Pattern.quote(folder.toString()), "WORK"));
        return process;
    }

    void signal(String name, String signal) throws IOException, InterruptedException {
        Process process;
        synchronized (processes) {
            process = processes.get(name);
        }
        note("SIG" + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    /** Puts the log of a process into the record. */
    void noteLog(String name) throws IOException {
        noteLog(name, null);
    }

    /** The same without the lines that hold a text, and with each line once where it comes several times on end. */
    void noteLog(String name, String without) throws IOException {
        String last = "";
        for (String line : log(name).split("\n")) {
            if (line.equals(last) || without != null && line.contains(without)) {
                continue;
            }
            last = line;
            note("log of " + name + ": " + line.replace(folder.toString(), "WORK"));
        }
    }

    private void killAll() {
        synchronized (processes) {
            for (Process process : processes.values()) {
                process.descendants().forEach(ProcessHandle::destroyForcibly);
                process.destroyForcibly();
            }
            for (Process process : processes.values()) {
                try {
                    process.waitFor(3, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- Hosts and routers

    /** Adds a group of a primary and two replicas. */
    HostGroup group(int number, long seed) throws IOException {
        HostGroup group = new HostGroup(this, number, 3, seed);
        groups.put(number, group);
        return group;
    }

    void list() {
        discovery.list(
                true,
                groups.values().stream()
                        .flatMap(group -> group.members.stream())
                        .map(member -> member.entry(member.id, member.group.number, "Ready"))
                        .toArray(String[]::new));
    }

    HostGroup.Member memberAt(int port) {
        return groups.values().stream()
                .flatMap(group -> group.members.stream())
                .filter(member -> member.port() == port)
                .findFirst()
                .orElse(null);
    }

    /** A router's file, with the four classes, deadlines and limits of the valpo-despacho site. */
    Path routerFile(String name, int port) throws IOException {
        String type = "{\"name\":\"%s\",\"effect\":\"%s\",\"goal_time_us\":%d,\"give_up_us\":%d,"
                + "\"late_share\":%s,\"points\":%d}";
        String types = String.join(
                ",",
                type.formatted("cab-board", "pure", 800_000, 2_000_000, "0", 1),
                type.formatted("my-trip", "pure", 750_000, 3_000_000, "0.2", 1),
                type.formatted("fare-history", "pure", 800_000, 2_500_000, "0.2", 2),
                type.formatted("trip-book", "side_effect", 1_000_000, 3_000_000, "0.7", 3));
        String text = """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"sockets":1024,"memory_mb":192},
                 "known":{"version":0,"full":true,"servers":[]},
                 "settings":{"family_info":{"freshness":["recent","own_writes","loose","update"],
                  "oldest_data_us":[500000,0,0,0],"session_marks":"client"},"fees":{"probe":0.069},
                  "limits":{"max_attempts":10,"second_copies":true,"cancel":true,"probes":true,
                   "dial_timeout_us":250000,"conn_idle_us":15000000},
                  "load_report":{"fields":["x0","x1","rif"],"how":"inline"},"parties":[{"name":"radio-puerto"}],
                  "round_us":5000,"replicas_of_me":2,"zones":["east"],"request_classes":[%s]}}
                """.formatted(name, port, discovery.port(), types);
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, text);
        return file;
    }

    /** Starts a router by the run line, with a plan if one is given; returns its port. */
    int router(String name, Path plan) throws IOException {
        int port = freePort();
        Path file = routerFile(name, port);
        start(
                name,
                run(plan == null ? "" : " --plan " + plan),
                Map.of("BALANCER_CONFIG", file.toString()));
        return port;
    }

    /** Waits until a router answers an empty query. */
    void awaitReady(String name, int port) throws IOException {
        long until = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < until) {
            try (TestClient client = client(port)) {
                if (client.ask("").startsWith("I")) {
                    note(name + " is ready");
                    return;
                }
            } catch (IOException e) {
                sleep(20);
            }
        }
        noteLog(name);
        end(COULD_NOT_RUN, name + " is not ready in 30 s");
    }

    /** Opens a client's connection and reads the greeting. */
    static TestClient client(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        TestClient client = new TestClient(socket);
        MessageWriter.startup("app", "shop").writeTo(client.out);
        client.answer();
        return client;
    }

    /** Returns the JSON text of an HTTP GET. */
    static String get(int port, String path) throws IOException {
        HttpURLConnection connection = (HttpURLConnection)
                URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
        connection.setConnectTimeout(2_000);
        connection.setReadTimeout(3_000);
        boolean ok = connection.getResponseCode() == 200;
        try (var body = ok ? connection.getInputStream() : connection.getErrorStream()) {
            return new String(body.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        discovery.close();
        for (HostGroup group : groups.values()) {
            for (HostGroup.Member member : group.members) {
                member.close();
            }
        }
        record.flush();
    }

    /** Ends all processes and removes the work folder. */
    private void cleanUp() {
        killAll();
        try (var files = Files.walk(folder)) {
            List<Path> all = new ArrayList<>(files.toList());
            java.util.Collections.reverse(all);
            for (Path file : all) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            System.err.println("the work folder stays: " + e);
        }
    }
}
