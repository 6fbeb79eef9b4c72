package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.DiscoveryStandIn;
import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.PipeliningClients;
import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The packaged program while its process is paused, restarted and flooded with connections. Clients pipeline requests;
 * each request is answered, or its connection is reset before the request was read.
 */
@Timeout(240)
class RestartAndOverloadIT {
    /** How long a router may be delayed between reading its clock and writing without stating too long a timeout. */
    private static final long TOLERATED_DELAY_MILLIS = 150;
    /** How long a process that continues may wait for a processor on a busy machine. */
    private static final long SCHEDULING_MILLIS = 50;

    private static final Pattern OUTDATED_TIMEOUT = Pattern.compile("invariant violated: rule=sending .*"
            + "sent with a timeout longer than the time left, ms: \\d+, the write took, ms: (\\d+)$");

    @TempDir
    Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();
    private PipeliningClients pipeliningClients;
    private volatile boolean finished;
    private HostStandIn a;
    private HostStandIn b;
    private DiscoveryStandIn discovery;

    @BeforeEach
    void startStandIns() throws IOException {
        a = keep(new HostStandIn("leader"));
        b = keep(new HostStandIn("follower"));
        pipeliningClients = new PipeliningClients(List.of(a, b), port -> false);
        discovery = keep(new DiscoveryStandIn());
        discovery.list(true, a.entry("a", "Ready"), b.entry("b", "Ready"));
    }

    @AfterEach
    void closeResources() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    @Test
    void aConnectionFloodIsAnsweredWithinALimitOf128Descriptors() throws Exception {
        flood(128, 128);
    }

    @Test
    void aConnectionFloodIsAnsweredWithinALimitOf256Descriptors() throws Exception {
        flood(256, 256);
    }

    /** System calls fail at the limit; the program must accept clients again once descriptors are free. */
    @Test
    void aConnectionFloodIsAnsweredWithFewerDescriptorsThanConfigured() throws Exception {
        flood(128, 80);
    }

    /** Connects three times as many concurrent clients as there are descriptors, each of them four times in a row. */
    private void flood(int configuredDescriptors, int availableDescriptors) throws Exception {
        a.delayMillis = 40;
        b.delayMillis = 40;
        RouterProcess program = start(configuredDescriptors, "ulimit -n " + availableDescriptors + "; ");
        AtomicInteger maxOpenFiles = new AtomicInteger();
        Thread fileWatch = startThread(() -> {
            while (!finished) {
                maxOpenFiles.accumulateAndGet(program.openFileCount(), Math::max);
                TimeUnit.MILLISECONDS.sleep(1);
            }
        });
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 3 * availableDescriptors; i++) {
            int clientNumber = i;
            clients.add(startThread(() -> {
                SplittableRandom random = new SplittableRandom(clientNumber);
                for (int k = 0; k < 4; k++) {
                    pipeliningClients.batch(program.port, "f" + clientNumber + "-" + k, 1, random, () -> finished);
                }
            }));
        }
        for (Thread each : clients) {
            each.join();
        }
        finished = true;
        fileWatch.join();
        assertThat(pipeliningClients.odd).isEmpty();
        assertThat(program.log().contains("Too many open files"))
                .isEqualTo(availableDescriptors < configuredDescriptors);
        assertThat(maxOpenFiles.get()).isBetween(availableDescriptors / 2, availableDescriptors);
        assertThat(pipeliningClients.answered.get()).isEqualTo(4 * 3 * availableDescriptors);
        // With fewer descriptors than configured it may reject nearly all requests, but it answers and continues.
        assertThat(pipeliningClients.served.get())
                .isGreaterThan(availableDescriptors < configuredDescriptors ? 0 : availableDescriptors / 2);
        assertThat(pipeliningClients.writesThatRanTwice()).isEmpty();
    }

    /** Restarts two programs ten times each, while clients pipeline requests and connect again continually. */
    @Test
    void twentyRestartsUnderLoadLoseNoRequestThatWasRead() throws Exception {
        a.delayMillis = 5;
        b.delayMillis = 5;
        List<Thread> restarts = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        AtomicInteger cleanExits = new AtomicInteger();
        for (int p = 0; p < 2; p++) {
            int port = RouterProcess.freePort();
            restarts.add(startThread(() -> {
                for (int k = 0; k < 10; k++) {
                    RouterProcess program = start(1024, "", port);
                    TimeUnit.MILLISECONDS.sleep(300);
                    program.sendSignal("TERM");
                    if (program.process.waitFor(15, TimeUnit.SECONDS) && program.process.exitValue() == 0) {
                        cleanExits.incrementAndGet();
                    }
                    program.close();
                }
            }));
            for (int i = 0; i < 6; i++) {
                String name = "r" + p + "-" + i;
                int clientNumber = 10 * p + i;
                clients.add(startThread(() -> {
                    SplittableRandom random = new SplittableRandom(clientNumber);
                    for (int k = 0; !finished; k++) {
                        pipeliningClients.batch(port, name + "-" + k, 1 + random.nextInt(5), random, () -> finished);
                    }
                }));
            }
        }
        for (Thread each : restarts) {
            each.join();
        }
        finished = true;
        for (Thread each : clients) {
            each.join();
        }
        assertThat(pipeliningClients.odd).isEmpty();
        assertThat(cleanExits.get()).isEqualTo(20);
        assertThat(pipeliningClients.served.get()).isGreaterThan(500);
        assertThat(pipeliningClients.writesThatRanTwice()).isEmpty();
    }

    /**
     * The process is paused at arbitrary points, 200 times for 20 to 200 ms, while clients connect, stay idle, are
     * disconnected for being idle, and send requests at that very moment.
     */
    @Test
    void twoHundredPausesOfTheProcessUnderLoadLoseNoRequest() throws Exception {
        a.delayMillis = 2;
        b.delayMillis = 2;
        RouterProcess program = start(128, "");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            int clientNumber = i;
            clients.add(startThread(() -> {
                SplittableRandom random = new SplittableRandom(clientNumber);
                for (int k = 0; !finished; k++) {
                    TestClient client = pipeliningClients.open(program.port);
                    if (client == null) {
                        continue;
                    }
                    try (client) {
                        boolean connected = true;
                        for (int j = 0; connected && !finished; j++) {
                            connected = pipeliningClients.ask(
                                    program.port,
                                    client,
                                    "s" + clientNumber + "-" + k + "-" + j,
                                    1 + random.nextInt(2),
                                    random);
                            TimeUnit.MILLISECONDS.sleep(random.nextInt(300));
                        }
                    }
                }
            }));
        }
        long longestPauseMillis = pauseRepeatedly(program);
        finished = true;
        for (Thread each : clients) {
            each.join();
        }
        assertThat(pipeliningClients.odd).isEmpty();
        assertThat(pipeliningClients.served.get()).isGreaterThan(1_000);
        // The test shows nothing unless clients were disconnected while idle.
        assertThat(pipeliningClients.unread.get()).isPositive();
        String unexpectedLines = program.log()
                .lines()
                .filter(line -> !isTimeoutOutdatedByPause(line, longestPauseMillis))
                .collect(Collectors.joining("\n"));
        assertThat(unexpectedLines).doesNotContain("ERROR", "Exception");
        assertThat(pipeliningClients.writesThatRanTwice()).isEmpty();
    }

    /** Stops and continues the process 200 times; returns the longest pause with the time that the signals took. */
    private static long pauseRepeatedly(RouterProcess program) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(5);
        long longestPauseMillis = 0;
        for (int i = 0; i < 200; i++) {
            long startNanos = System.nanoTime();
            program.sendSignal("STOP");
            TimeUnit.MILLISECONDS.sleep(20 + random.nextInt(181));
            program.sendSignal("CONT");
            longestPauseMillis = Math.max(longestPauseMillis, (System.nanoTime() - startNanos) / 1_000_000);
            TimeUnit.MILLISECONDS.sleep(random.nextInt(50));
        }
        return longestPauseMillis;
    }

    /**
     * Whether a log line reports a timeout that was outdated when the host received it, because the router was delayed
     * between reading its clock and writing for longer than it has to allow for, and no longer than by a pause.
     */
    private static boolean isTimeoutOutdatedByPause(String line, long longestPauseMillis) {
        Matcher outdated = OUTDATED_TIMEOUT.matcher(line);
        if (!outdated.find()) {
            return false;
        }
        long writeMillis = Long.parseLong(outdated.group(1));
        return writeMillis > TOLERATED_DELAY_MILLIS && writeMillis <= longestPauseMillis + SCHEDULING_MILLIS;
    }

    /** A task that may throw. */
    private interface ThrowingTask {
        void run() throws Exception;
    }

    private Thread startThread(ThrowingTask task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (Exception | AssertionError e) {
                        pipeliningClients.odd.add(e.toString());
                    }
                },
                "client",
                256 * 1024);
        thread.start();
        return thread;
    }

    private RouterProcess start(int descriptors, String shellPrefix) throws Exception {
        return start(descriptors, shellPrefix, RouterProcess.freePort());
    }

    private RouterProcess start(int descriptors, String shellPrefix, int port) throws Exception {
        return keep(new RouterProcess(
                        folder,
                        RouterProcess.config(port, discovery, descriptors, 192, a.entry("a", "Ready")),
                        port,
                        shellPrefix))
                .awaitReady();
    }

    private synchronized <T extends AutoCloseable> T keep(T each) {
        open.add(0, each);
        return each;
    }
}
