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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The packaged program while it is stopped, restarted and flooded. Clients write ahead; what they wrote is answered, or
 * its connection is reset with it unread. Nothing else is good enough.
 */
@Timeout(240)
class RestartAndOverloadIT {
    @TempDir
    Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();
    private PipeliningClients writers;
    private volatile boolean over;
    private HostStandIn a;
    private HostStandIn b;
    private DiscoveryStandIn discovery;

    @BeforeEach
    void standIns() throws IOException {
        a = keep(new HostStandIn("leader"));
        b = keep(new HostStandIn("follower"));
        writers = new PipeliningClients(List.of(a, b), port -> false);
        discovery = keep(new DiscoveryStandIn());
        discovery.list(true, a.entry("a", "Ready"), b.entry("b", "Ready"));
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    @Test
    void atALimitOf128DescriptorsAFloodIsAnsweredAndNoCallMeetsTheLimit() throws Exception {
        flood(128, 128);
    }

    @Test
    void atALimitOf256DescriptorsAFloodIsAnsweredAndNoCallMeetsTheLimit() throws Exception {
        flood(256, 256);
    }

    /** The program meets the limit then, and goes on taking clients in once it has descriptors again. */
    @Test
    void whereFewerDescriptorsThanStatedCanBeHadAFloodIsAnsweredAllTheSame() throws Exception {
        flood(128, 80);
    }

    /** Three times as many clients as there are descriptors, all at once, four times over. */
    private void flood(int stated, int limit) throws Exception {
        a.delayMillis = 40;
        b.delayMillis = 40;
        Program program = start(stated, "ulimit -n " + limit + "; ");
        AtomicInteger mostFiles = new AtomicInteger();
        Thread watch = thread(() -> {
            while (!over) {
                mostFiles.accumulateAndGet(program.files(), Math::max);
                TimeUnit.MILLISECONDS.sleep(1);
            }
        });
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 3 * limit; i++) {
            int n = i;
            clients.add(thread(() -> {
                SplittableRandom chance = new SplittableRandom(n);
                for (int k = 0; k < 4; k++) {
                    writers.batch(program.port, "f" + n + "-" + k, 1, chance, () -> over);
                }
            }));
        }
        for (Thread each : clients) {
            each.join();
        }
        over = true;
        watch.join();
        assertThat(writers.odd).isEmpty();
        assertThat(program.log().contains("Too many open files")).isEqualTo(limit < stated);
        assertThat(mostFiles.get()).isBetween(limit / 2, limit);
        assertThat(writers.answered.get()).isEqualTo(4 * 3 * limit);
        // With fewer descriptors than it counts on it may decline nearly all, but it answers and goes on.
        assertThat(writers.served.get()).isGreaterThan(limit < stated ? 0 : limit / 2);
        assertThat(writers.writesThatRanTwice()).isEmpty();
    }

    /** Two programs, ten restarts each, while clients write ahead and come anew all the time. */
    @Test
    void twentyRestartsUnderLoadDropNothingThatWasTaken() throws Exception {
        a.delayMillis = 5;
        b.delayMillis = 5;
        List<Thread> restarts = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        AtomicInteger zeros = new AtomicInteger();
        for (int p = 0; p < 2; p++) {
            int port = Program.freePort();
            restarts.add(thread(() -> {
                for (int k = 0; k < 10; k++) {
                    Program program = start(1024, "", port);
                    TimeUnit.MILLISECONDS.sleep(300);
                    program.signal("TERM");
                    if (program.process.waitFor(15, TimeUnit.SECONDS) && program.process.exitValue() == 0) {
                        zeros.incrementAndGet();
                    }
                    program.close();
                }
            }));
            for (int i = 0; i < 6; i++) {
                String name = "r" + p + "-" + i;
                int n = 10 * p + i;
                clients.add(thread(() -> {
                    SplittableRandom chance = new SplittableRandom(n);
                    for (int k = 0; !over; k++) {
                        writers.batch(port, name + "-" + k, 1 + chance.nextInt(5), chance, () -> over);
                    }
                }));
            }
        }
        for (Thread each : restarts) {
            each.join();
        }
        over = true;
        for (Thread each : clients) {
            each.join();
        }
        assertThat(writers.odd).isEmpty();
        assertThat(zeros.get()).isEqualTo(20);
        assertThat(writers.served.get()).isGreaterThan(500);
        assertThat(writers.writesThatRanTwice()).isEmpty();
    }

    /**
     * The process is stopped wherever it just is, 200 times for 20 to 200 ms, while clients come, stay idle, are ended
     * for it, and write at that very moment.
     */
    @Test
    void twoHundredStopsOfTheProcessUnderLoadLoseNothing() throws Exception {
        a.delayMillis = 2;
        b.delayMillis = 2;
        Program program = start(128, "");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            int n = i;
            clients.add(thread(() -> {
                SplittableRandom chance = new SplittableRandom(n);
                for (int k = 0; !over; k++) {
                    TestClient caller = writers.open(program.port);
                    if (caller == null) {
                        continue;
                    }
                    try (caller) {
                        boolean stays = true;
                        for (int j = 0; stays && !over; j++) {
                            stays = writers.ask(
                                    program.port, caller, "s" + n + "-" + k + "-" + j, 1 + chance.nextInt(2), chance);
                            TimeUnit.MILLISECONDS.sleep(chance.nextInt(300));
                        }
                    }
                }
            }));
        }
        SplittableRandom chance = new SplittableRandom(5);
        for (int i = 0; i < 200; i++) {
            program.signal("STOP");
            TimeUnit.MILLISECONDS.sleep(20 + chance.nextInt(181));
            program.signal("CONT");
            TimeUnit.MILLISECONDS.sleep(chance.nextInt(50));
        }
        over = true;
        for (Thread each : clients) {
            each.join();
        }
        assertThat(writers.odd).isEmpty();
        assertThat(writers.served.get()).isGreaterThan(1_000);
        // Clients were ended while idle, or this has shown nothing.
        assertThat(writers.unread.get()).isPositive();
        assertThat(program.log()).doesNotContain("ERROR", "Exception");
        assertThat(writers.writesThatRanTwice()).isEmpty();
    }

    // ---- Helpers ------------------------------------------------------------------------------------------

    /** What may throw. */
    private interface Work {
        void run() throws Exception;
    }

    private Thread thread(Work work) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        work.run();
                    } catch (Exception | AssertionError e) {
                        writers.odd.add(e.toString());
                    }
                },
                "client",
                256 * 1024);
        thread.start();
        return thread;
    }

    private Program start(int limit, String before) throws Exception {
        return start(limit, before, Program.freePort());
    }

    private Program start(int limit, String before, int port) throws Exception {
        return keep(new Program(
                        folder, Program.config(port, discovery, limit, 192, a.entry("a", "Ready")), port, before))
                .ready();
    }

    private synchronized <T extends AutoCloseable> T keep(T each) {
        open.add(0, each);
        return each;
    }
}
