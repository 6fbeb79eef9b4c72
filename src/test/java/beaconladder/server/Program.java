package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.DiscoveryStandIn;
import beaconladder.testbed.RouterFile;
import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.awaitility.Awaitility;

/** The program, started by the line that operators use. */
final class Program implements AutoCloseable {
    final Process process;
    final int port;
    private final Path log;
    private final Path file;

    Program(Path folder, String config, int port) throws IOException {
        this(folder, config, port, "");
    }

    /** One whose shell does something first. */
    Program(Path folder, String config, int port, String before) throws IOException {
        this.port = port;
        file = Files.createTempFile(folder, "config", ".json");
        Files.writeString(file, config);
        log = Files.createTempFile(folder, "log", ".txt");
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .split("\"")[1];
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", before + run)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("BALANCER_CONFIG", file.toString());
        process = builder.start();
    }

    static String config(int port, DiscoveryStandIn discovery, int sockets, int memory, String known) {
        return RouterFile.of("n0", port, discovery, sockets, memory, known);
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Waits until it answers an empty query. */
    Program ready() {
        Awaitility.await()
                .atMost(Duration.ofSeconds(20))
                .pollInterval(Duration.ofMillis(10))
                .until(() -> {
                    assertThat(process.isAlive()).as(log()).isTrue();
                    try (TestClient caller = new TestClient(new Socket(InetAddress.getLoopbackAddress(), port))) {
                        MessageWriter.startup("app", "shop")
                                .append(MessageWriter.query(""))
                                .writeTo(caller.out);
                        caller.answer();
                        return caller.answer().equals("I Z");
                    } catch (IOException e) {
                        return false;
                    }
                });
        return this;
    }

    void reload(String config) throws IOException, InterruptedException {
        Files.writeString(file, config);
        signal("HUP");
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .start()
                .waitFor();
    }

    String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return e.toString();
        }
    }

    int files() {
        return count("fd");
    }

    int threads() {
        return count("task");
    }

    private int count(String what) {
        try (var all = Files.list(Path.of("/proc", String.valueOf(process.pid()), what))) {
            return (int) all.count();
        } catch (IOException e) {
            return -1;
        }
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
