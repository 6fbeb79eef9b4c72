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

/** A child process of this program that is measured from outside. It is killed when this one ends. */
final class ChildProcess implements AutoCloseable {
    /** The JVM flags of the `run` line of deploy/balancer.toml; a test compares the two. */
    static final List<String> ROUTER_JVM_FLAGS = List.of(
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
    private final Thread shutdownHook = new Thread(this::kill);

    private ChildProcess(ProcessBuilder builder, Path log) throws IOException {
        this.log = log;
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Starts a process with the class path of this one and the given flags. */
    static ChildProcess start(Path folder, String name, List<String> flags, String mainClass, String... arguments)
            throws IOException {
        return new ChildProcess(
                new ProcessBuilder(commandLine(flags, classPath(), mainClass, arguments)),
                folder.resolve(name + ".log"));
    }

    /** Starts a router the way operators start one. */
    static ChildProcess router(Path folder, String name, String config) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        ProcessBuilder builder = new ProcessBuilder(
                commandLine(ROUTER_JVM_FLAGS, System.getProperty("java.class.path"), "beaconladder.app.Main", "serve"));
        builder.environment().put("BALANCER_CONFIG", file.toString());
        return new ChildProcess(builder, folder.resolve(name + ".log"));
    }

    private static List<String> commandLine(
            List<String> flags, String classPath, String mainClass, String... arguments) {
        List<String> commandLine = new ArrayList<>();
        commandLine.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        commandLine.addAll(flags);
        commandLine.addAll(List.of("-cp", classPath, mainClass));
        commandLine.addAll(List.of(arguments));
        return commandLine;
    }

    /**
     * Returns the class path of this program and, when it runs from a jar, the libraries that lease servers need in
     * addition.
     */
    private static String classPath() {
        String ownClassPath = System.getProperty("java.class.path");
        Path jar = Path.of(ownClassPath.split(java.io.File.pathSeparator)[0]).toAbsolutePath();
        Path leaseServerLibraries = jar.resolveSibling("grantors");
        return jar.toString().endsWith(".jar") && Files.isDirectory(leaseServerLibraries)
                ? ownClassPath + java.io.File.pathSeparator + leaseServerLibraries + "/*"
                : ownClassPath;
    }

    /** Returns a TCP port that was free a moment ago. */
    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Returns a UDP port that was free a moment ago. */
    static int freeDatagramPort() throws IOException {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Waits until the process accepts connections on this port. */
    void awaitListening(int port) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + READY_MILLIS * 1_000_000L;
        while (System.nanoTime() < deadline && process.isAlive()) {
            try {
                new Socket(InetAddress.getLoopbackAddress(), port).close();
                return;
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        throw new IOException("a child process did not start listening: " + log());
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

    /** Returns the last line of the log. */
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
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // The JVM is shutting down already.
        }
    }
}
