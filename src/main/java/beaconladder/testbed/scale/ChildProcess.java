package beaconladder.testbed.scale;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A process of this program that is measured from outside; it ends with its owner. */
final class ChildProcess implements AutoCloseable {
    /** As the `run` line of deploy/balancer.toml has them; a test compares. */
    static final List<String> RUN = List.of(
            "-XX:-UsePerfData",
            "-XX:+DisableAttachMechanism",
            "-Djava.net.preferIPv4Stack=true",
            "-Xmx64m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:ReservedCodeCacheSize=24m",
            "-Djdk.nio.maxCachedBufferSize=16384",
            "-Dslf4j.provider=org.slf4j.simple.SimpleServiceProvider",
            "-Dslf4j.internal.verbosity=WARN");

    private static final int READY_MILLIS = 60_000;

    private final Process process;
    private final Path log;
    private final Thread end = new Thread(this::kill);

    private ChildProcess(ProcessBuilder builder, Path log) throws IOException {
        this.log = log;
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        Runtime.getRuntime().addShutdownHook(end);
    }

    /** A process of this class path with these flags. */
    static ChildProcess start(Path folder, String name, List<String> flags, String main, String... arguments)
            throws IOException {
        return new ChildProcess(new ProcessBuilder(line(flags, classes(), main, arguments)), folder.resolve(name + ".log"));
    }

    /** A router as operators start one. */
    static ChildProcess router(Path folder, String name, String config) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        ProcessBuilder builder =
                new ProcessBuilder(line(RUN, System.getProperty("java.class.path"), "beaconladder.app.Main", "serve"));
        builder.environment().put("BALANCER_CONFIG", file.toString());
        return new ChildProcess(builder, folder.resolve(name + ".log"));
    }

    private static List<String> line(List<String> flags, String classes, String main, String... arguments) {
        List<String> line = new ArrayList<>();
        line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        line.addAll(flags);
        line.addAll(List.of("-cp", classes, main));
        line.addAll(List.of(arguments));
        return line;
    }

    /** This program's own; behind it, where it is a jar, what grantors need beside it. */
    private static String classes() {
        String own = System.getProperty("java.class.path");
        Path jar = Path.of(own.split(java.io.File.pathSeparator)[0]).toAbsolutePath();
        Path grantors = jar.resolveSibling("grantors");
        return jar.toString().endsWith(".jar") && Files.isDirectory(grantors)
                ? own + java.io.File.pathSeparator + grantors + "/*"
                : own;
    }

    /** A port that was free a moment ago. */
    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** The same for datagrams: those are ports of their own. */
    static int freeDatagramPort() throws IOException {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Waits until somebody listens at this port. */
    void listens(int port) throws IOException, InterruptedException {
        long until = System.nanoTime() + READY_MILLIS * 1_000_000L;
        while (System.nanoTime() < until && process.isAlive()) {
            try {
                new Socket(InetAddress.getLoopbackAddress(), port).close();
                return;
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        throw new IOException("a process of the test did not come up: " + log());
    }

    ProcessCounters counters() throws IOException {
        return ProcessCounters.of(process.pid());
    }

    long pid() {
        return process.pid();
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    /** What it logged last. */
    String lastLine() throws IOException {
        List<String> lines = Files.readAllLines(log);
        return lines.isEmpty() ? "nothing" : lines.get(lines.size() - 1);
    }

    private void kill() {
        process.destroyForcibly();
    }

    @Override
    public void close() {
        kill();
        process.onExit().join();
        try {
            Runtime.getRuntime().removeShutdownHook(end);
        } catch (IllegalStateException e) {
            // The program ends already.
        }
    }
}
