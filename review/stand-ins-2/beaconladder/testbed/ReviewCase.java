package beaconladder.testbed;

import beaconladder.pg.MessageWriter;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * What the cases of the second review share: the record, the programs as separate processes with the commands of the
 * deploy file, free ports, and clients. Run from the root of the repository.
 */
public abstract class ReviewCase {
    // What run.sh turns into 0, 1 and 2: a JVM that can't start ends with 1 by itself, which must not count as a broken rule.
    /** The rule was kept. */
    static final int KEPT = 40;
    /** The rule was broken. */
    static final int BROKEN = 41;
    /** The case could not run. */
    static final int NOT_RUN = 42;

    /** The slack that the protocol page adds to every time limit on sockets. */
    static final int SLACK_MILLIS = 50;

    private static final int READY_MILLIS = 30_000;

    /** Whether the disruption takes place; not with TROUBLE=0. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private final List<Process> processes = new ArrayList<>();
    private boolean ended;
    private final long startMillis = System.currentTimeMillis();
    private PrintWriter record;
    Path folder;

    /** Plays the case and returns its exit code. */
    abstract int play() throws Exception;

    /** Runs a case with its folder (for the record) as argument, and ends all that it started. */
    static void main(ReviewCase toRun, String[] arguments) {
        int code = NOT_RUN;
        Thread endAll = new Thread(toRun::endProcesses);
        Runtime.getRuntime().addShutdownHook(endAll);
        try {
            toRun.folder = Files.createTempDirectory("review");
            toRun.record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0], "record.txt")), true);
            toRun.say("disruption: " + (toRun.trouble ? "yes" : "no (TROUBLE=0)"));
            code = toRun.play();
        } catch (Exception | Error e) {
            e.printStackTrace();
            if (toRun.record != null) {
                toRun.say("the case could not run: " + e);
            }
        }
        toRun.endProcesses();
        if (toRun.record != null) {
            toRun.say(code == KEPT ? "the rule was kept" : code == BROKEN ? "THE RULE WAS BROKEN" : "could not run");
            toRun.record.close();
        }
        try (Stream<Path> files = Files.walk(toRun.folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | RuntimeException e) {
            System.err.println("the temporary folder is left: " + e);
        }
        Runtime.getRuntime().halt(code);
    }

    /** Writes a line with its time to the record and to standard output. */
    synchronized void say(String line) {
        String timed = String.format(
                "%8.3f  %s",
                (System.currentTimeMillis() - startMillis) / 1e3,
                // The temporary folder is another one in each run.
                folder == null ? line : line.replace(folder.toString(), "FOLDER"));
        System.out.println(timed);
        record.println(timed);
    }

    /** Returns a time of the wall clock as seconds of the record. */
    String at(long millis) {
        return String.format("%.3f", (millis - startMillis) / 1e3);
    }

    /** Returns the `run` line of the deploy file. */
    static String runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.indexOf('"', "run = \"".length()));
            }
        }
        throw new IOException("deploy/balancer.toml has no run line");
    }

    /** Starts a router by the deploy file's command; what follows it is appended. */
    Process startRouter(Path config, Path log, String... further) throws IOException {
        return start(runLine() + " " + String.join(" ", further), config, log);
    }

    /** Starts a process with a shell, as the deployment page says; its output is appended to the log. */
    Process start(String command, Path config, Path log) throws IOException {
        Path temporary = Files.createTempDirectory(folder, "tmp");
        ProcessBuilder builder = new ProcessBuilder(
                        "/bin/sh", "-c", command.startsWith("exec ") ? command : "exec " + command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("TMPDIR", temporary.toString());
        if (config != null) {
            builder.environment().put("BALANCER_CONFIG", config.toString());
        }
        synchronized (processes) {
            if (ended) {
                throw new IOException("the case has ended");
            }
            Process process = builder.start();
            processes.add(process);
            return process;
        }
    }

    private void endProcesses() {
        synchronized (processes) {
            ended = true;
            for (Process process : processes) {
                process.destroyForcibly();
                process.onExit().join();
            }
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Waits until a router answers an empty query, as the front does. */
    void awaitReady(int port) throws IOException, InterruptedException {
        long untilMillis = System.currentTimeMillis() + READY_MILLIS;
        while (true) {
            try (Client client = new Client(port)) {
                if (client.ask("").contains("I")) {
                    return;
                }
            } catch (IOException e) {
                if (System.currentTimeMillis() > untilMillis) {
                    throw new IOException("the router at " + port + " is not ready", e);
                }
            }
            Thread.sleep(20);
        }
    }

    static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - System.currentTimeMillis()));
    }

    /** A client on one connection; it sends its startup message at once. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        private final DataInputStream in;
        /** The value of the last answer's row, or null. */
        byte[] value;
        /** The SQLSTATE of the last answer, or null. */
        String code;

        Client(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(10_000);
            in = new DataInputStream(socket.getInputStream());
            MessageWriter.startup("app", "shop").writeTo(socket.getOutputStream());
            answer();
        }

        String ask(String query) throws IOException {
            send(query);
            return answer();
        }

        void send(String query) throws IOException {
            MessageWriter.query(query).writeTo(socket.getOutputStream());
        }

        /** Reads up to ReadyForQuery; returns the types of the messages, with the code of an error. */
        String answer() throws IOException {
            StringBuilder types = new StringBuilder();
            value = null;
            code = null;
            while (true) {
                char type = (char) in.readUnsignedByte();
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                types.append(type);
                if (type == 'D') {
                    value = java.util.Arrays.copyOfRange(body, 6, body.length);
                } else if (type == 'E') {
                    code = new String(body, StandardCharsets.UTF_8).replaceAll("(?s).*\0C([^\0]*)\0.*", "$1");
                    types.append('(').append(code).append(')');
                } else if (type == 'Z') {
                    return types.toString();
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
