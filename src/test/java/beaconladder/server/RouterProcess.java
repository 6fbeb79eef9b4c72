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

/** A router process, started with the command line of the deployment. */
final class RouterProcess implements AutoCloseable {
    final Process process;
    final int port;
    private final Path log;
    private final Path file;

    RouterProcess(Path folder, String config, int port) throws IOException {
        this(folder, config, port, "");
    }

    /** Starts a router from a shell that first runs the commands of the prefix. */
    RouterProcess(Path folder, String config, int port, String shellPrefix) throws IOException {
        this(folder, config, port, shellPrefix, null);
    }

    /** Starts a router with this plan of cells, or without cells where it is null. */
    RouterProcess(Path folder, String config, int port, String shellPrefix, Path plan) throws IOException {
        this.port = port;
        file = Files.createTempFile(folder, "config", ".json");
        Files.writeString(file, config);
        log = Files.createTempFile(folder, "log", ".txt");
        String runCommand = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .split("\"")[1];
        ProcessBuilder builder = new ProcessBuilder(
                        "/bin/sh", "-c", shellPrefix + runCommand + (plan == null ? "" : " --plan " + plan))
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("BALANCER_CONFIG", file.toString());
        process = builder.start();
    }

    static String config(int port, DiscoveryStandIn discovery, int maxDescriptors, int memoryMb, String known) {
        return RouterFile.of("n0", port, discovery, maxDescriptors, memoryMb, known);
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Waits until the router answers an empty query. */
    RouterProcess awaitReady() {
        Awaitility.await()
                .atMost(Duration.ofSeconds(20))
                .pollInterval(Duration.ofMillis(10))
                .until(() -> {
                    assertThat(process.isAlive()).as(log()).isTrue();
                    try (TestClient client = new TestClient(new Socket(InetAddress.getLoopbackAddress(), port))) {
                        MessageWriter.startup("app", "shop")
                                .append(MessageWriter.query(""))
                                .writeTo(client.out);
                        client.answer();
                        return client.answer().equals("I Z");
                    } catch (IOException e) {
                        return false;
                    }
                });
        return this;
    }

    void reload(String config) throws IOException, InterruptedException {
        Files.writeString(file, config);
        sendSignal("HUP");
    }

    void sendSignal(String name) throws IOException, InterruptedException {
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

    int openFileCount() {
        return count("fd");
    }

    int threadCount() {
        return count("task");
    }

    private int count(String entry) {
        try (var entries = Files.list(Path.of("/proc", String.valueOf(process.pid()), entry))) {
            return (int) entries.count();
        } catch (IOException e) {
            return -1;
        }
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
