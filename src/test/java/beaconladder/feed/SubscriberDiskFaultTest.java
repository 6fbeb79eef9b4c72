package beaconladder.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import beaconladder.discovery.EndpointWatch;
import beaconladder.testbed.soak.FaultPlan;
import beaconladder.testbed.soak.FaultPlan.Field;
import beaconladder.testbed.soak.FaultShim;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A subscriber in its own process while writes to its folder fail. */
@Timeout(120)
class SubscriberDiskFaultTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int ENOSPC = 28;
    private static final int EIO = 5;
    private static final long FAULT_MILLIS = 3_000;
    /** Long enough for the disk to fill up before the previous version is restored. */
    private static final long PAUSE_MILLIS = 1_000;

    @TempDir
    Path folder;

    private InMemoryLog log;
    private Relay relay;
    private FaultPlan plan;
    private Path output;
    private Process process;

    /** Runs a subscriber of the given relay with the given folder, and prints each version that it applies. */
    public static void main(String[] args) throws Exception {
        Applier applier = new Applier() {
            @Override
            public void validate(VersionedState next) throws IOException {
                if (next.entries().containsKey("bad")) {
                    throw new IOException("a document is named bad");
                }
            }

            @Override
            public void apply(VersionedState next) throws IOException {
                if (next.entries().containsKey("late")) {
                    System.out.println("applying " + next.version());
                    pause();
                    throw new IOException("rejected while it is applied");
                }
                System.out.println("applied " + next.version());
            }
        };
        try (Subscriber subscriber = new Subscriber(
                "n", System.nanoTime(), Map.of("a", EndpointWatch.parseAddress(args[0])), Path.of(args[1]), applier)) {
            System.out.println("stored " + subscriber.storedState().version());
            subscriber.run();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @BeforeEach
    void startFeed() throws Exception {
        log = new InMemoryLog();
        relay = new Relay("a", ANY_PORT, List.of(log.address()), null, 10);
        plan = new FaultPlan(folder.resolve("plan"));
        Files.createDirectory(folder.resolve("store"));
        start();
    }

    @AfterEach
    void stopAll() throws Exception {
        process.destroyForcibly().onExit().join();
        relay.close();
        log.close();
    }

    private void start() throws IOException, InterruptedException {
        output = Files.createTempFile(folder, "out", ".txt");
        Path store = folder.resolve("store");
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        SubscriberDiskFaultTest.class.getName(),
                        "127.0.0.1:" + relay.address().getPort(),
                        store.toString())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile());
        builder.environment()
                .put("LD_PRELOAD", FaultShim.build(folder).library().toString());
        builder.environment().put("FAULT_SHIM_PLAN", plan.file().toString());
        builder.environment().put("FAULT_SHIM_FOLDER", store.toString());
        process = builder.start();
    }

    private void awaitLine(String line) {
        await().atMost(TIMEOUT)
                .untilAsserted(
                        () -> assertThat(Files.readString(output).lines()).contains(line));
    }

    /** A disk that is full for a while is no reason to reject a version. */
    @Test
    void aVersionThatCouldNotBeStoredIsAppliedOnceTheDiskRecovers() throws Exception {
        log.set("x", "1");
        awaitLine("applied 1");
        int version = 1;
        for (int fault : new int[] {ENOSPC, EIO}) {
            plan.set(Field.FILE_ERRNO, fault);
            log.set("x", String.valueOf(++version));
            Thread.sleep(FAULT_MILLIS);
            assertThat(Files.readString(output))
                    .as("applied before it was stored")
                    .doesNotContain("applied " + version);
            plan.clear();
            awaitLine("applied " + version);
        }
    }

    /** The version was stored before it was rejected, and the previous one could not be restored at first. */
    @Test
    void aRejectedVersionIsNotWhatAKilledRouterRestartsWith() throws Exception {
        log.set("x", "1");
        awaitLine("applied 1");
        log.set("late", "1");
        awaitLine("applying 2");
        plan.set(Field.FILE_ERRNO, ENOSPC);
        await().atMost(TIMEOUT).until(() -> Files.readString(output).contains("version 2 is rejected"));
        Thread.sleep(FAULT_MILLIS);
        plan.clear();
        Thread.sleep(FAULT_MILLIS);
        process.destroyForcibly().onExit().join();
        start();
        awaitLine("stored 1");
    }
}
