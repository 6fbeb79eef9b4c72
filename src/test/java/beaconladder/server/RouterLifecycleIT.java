package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.DiscoveryStandIn;
import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Limits, the list, a reload, a planned restart, and what cannot start. */
@Timeout(60)
class RouterLifecycleIT extends RouterProcessFixture {
    @Test
    void connectsAndClosesLeakNothing() throws Exception {
        start();
        for (int i = 0; i < 20; i++) {
            query(connect(), read("x", 2000));
        }
        closeClients();
        await(() -> router.openFileCount() < 60);
        int files = router.openFileCount();
        for (int i = 0; i < 300; i++) {
            TestClient c = connect();
            if (i % 3 == 0) {
                MessageWriter.query(read("x" + i, 2000)).writeTo(c.out);
            } else if (i % 3 == 1) {
                query(c, read("x" + i, 2000));
            }
            c.close();
        }
        await(() -> router.openFileCount() <= files + 5);
        assertThat(router.threadCount()).isLessThan(100);
    }

    @Test
    void aSlowReaderHoldsUpNobodyElse() throws Exception {
        start();
        TestClient slow = connect();
        replica.value = new byte[60_000];
        for (int i = 0; i < 200; i++) {
            MessageWriter.query(read("slow" + i, 10_000)).writeTo(slow.out);
        }
        TestClient other = connect();
        for (int i = 0; i < 5; i++) {
            assertThat(other.ask(read("r" + i, 2000))).startsWith("T D:0000").endsWith("C:SELECT 1 Z");
        }
    }

    @Test
    void nearTheLimitIdleConnectionsGoFirstAndWhoCannotStayIsTold() throws Exception {
        maxDescriptors = 76;
        start();
        List<TestClient> idle = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            idle.add(connect());
            TimeUnit.MILLISECONDS.sleep(15);
        }
        append(
                "the newest of 30 " + idle.get(29).ask(""),
                "the oldest " + idle.get(0).answer());
        replica.delayMillis = 1500;
        primary.delayMillis = 1500;
        List<TestClient> busy = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            TestClient c = new TestClient(closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), router.port)));
            MessageWriter.startup("app", "shop")
                    .append(MessageWriter.query(read("b" + i, 3000)))
                    .writeTo(c.out);
            busy.add(c);
        }
        List<String> ends = new ArrayList<>();
        for (TestClient c : busy) {
            String first = c.answer();
            ends.add(first.startsWith("E") ? first : c.answer());
        }
        assertThat(ends)
                .allMatch(e -> List.of("T D:00ff27 C:SELECT 1 Z", "E:53300 Z", "E:53300 closed")
                        .contains(e))
                .contains("E:53300 closed")
                .contains("T D:00ff27 C:SELECT 1 Z");
        assertThat(transcript.toString()).isEqualTo("the newest of 30 I Z\nthe oldest closed\n");
    }

    /** The least memory has room for 64 threads; a txn in hand takes one. */
    @Test
    void aTxnForWhichNoThreadIsLeftIsDeclinedAtOnce() throws Exception {
        memoryMb = 1;
        start();
        replica.delayMillis = 1000;
        List<TestClient> callers = new ArrayList<>();
        for (int i = 0; i < 80; i++) {
            callers.add(connect());
        }
        for (TestClient c : callers) {
            MessageWriter.query(read("x" + callers.indexOf(c), 2000)).writeTo(c.out);
        }
        TimeUnit.MILLISECONDS.sleep(200);
        // Those without a thread have their answer while the others still wait for the host.
        List<String> early = new ArrayList<>();
        for (TestClient c : callers) {
            if (c.waiting() > 0) {
                early.add(c.answer());
            }
        }
        assertThat(early).isNotEmpty().hasSizeLessThan(40).containsOnly("E:53300 Z");
        assertThat(router.threadCount()).isLessThan(100);
    }

    @Test
    void theListIsFollowedAndStandsWhileDiscoveryTalksNonsense() throws Exception {
        start();
        TestClient c = connect();
        append("at first " + c.ask(read("r1", 1500)));
        for (String bad : List.of(
                "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"version\":",
                "nonsense\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"version",
                "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" + "{\"version\":99,\"full\":true,\"servers\":[7]}")) {
            int calls = discovery.calls.get();
            discovery.garbage = bad;
            await(() -> discovery.calls.get() >= calls + 2);
            discovery.garbage = null;
            append("after nonsense " + c.ask(read("r2", 1500)));
        }
        assertThat(discovery.calls.get()).isLessThan(60);
        HostStandIn d = closeAfterTest(new HostStandIn("follower"));
        discovery.list(false, d.entry("d", "Ready"), replica.entry("b", "Terminating"));
        int old = replica.queries.size();
        await(() -> d.queries.isEmpty() && query(c, read("r3", 1500)).contains("C:") && !d.queries.isEmpty());
        int atB = replica.queries.size();
        append("draining " + c.ask(read("r4", 1500)) + (replica.queries.size() == atB ? "" : " at the drained host"));
        HostStandIn moved = closeAfterTest(new HostStandIn("follower"));
        discovery.list(true, primary.entry("a", "Ready"), moved.entry("d", "Ready"));
        await(() -> query(c, read("r5", 1500)).contains("C:") && !moved.queries.isEmpty());
        int atD = d.queries.size();
        append("moved " + c.ask(read("r6", 1500)) + (d.queries.size() == atD ? "" : " at the old address"));
        assertThat(old).isLessThanOrEqualTo(atB);
        assertThat(transcript.toString())
                .isEqualTo("at first T D:00ff27 C:SELECT 1 Z\n"
                        + "after nonsense T D:00ff27 C:SELECT 1 Z\n".repeat(5)
                        + "draining T D:00ff27 C:SELECT 1 Z\nmoved T D:00ff27 C:SELECT 1 Z\n");
    }

    @Test
    void aReloadMovesTheWatchAndAFileThatCannotBeReadChangesNothing() throws Exception {
        start();
        TestClient c = connect();
        query(c, read("warm", 2000));
        long faults = 0;
        for (int i = 0; i < 2; i++) {
            DiscoveryStandIn before = discovery;
            HostStandIn d = closeAfterTest(new HostStandIn("follower"));
            discovery = closeAfterTest(new DiscoveryStandIn());
            discovery.list(true, primary.entry("a", "Ready"), d.entry("d" + i, "Ready"));
            router.reload(config(router.port));
            long from = System.nanoTime();
            await(() -> query(c, read("r" + System.nanoTime(), 1500)).contains("C:") && !d.queries.isEmpty());
            assertThat(System.nanoTime() - from).isLessThan(3_000_000_000L);
            int calls = before.calls.get();
            before.close();
            for (String bad : List.of(
                    "",
                    "{",
                    config(router.port).replace("\"discovery\":\"127", "\"d\":\"1"),
                    config(router.port).replace("\"role\":\"leader\"}", "\"state\":\"Asleep\"}"))) {
                router.reload(bad);
                long told = ++faults;
                await(() -> router.log()
                                .lines()
                                .filter(l -> l.contains("not reloaded"))
                                .count()
                        == told);
            }
            assertThat(before.calls.get()).isEqualTo(calls);
            append(c.ask(read("after" + i, 1500)));
        }
        router.process.toHandle().destroy();
        assertThat(router.process.waitFor(10, TimeUnit.SECONDS)).isTrue();
        assertThat(router.process.exitValue()).isZero();
        assertThat(router.log().lines().filter(l -> l.contains("not reloaded"))).hasSize(8);
        assertThat(transcript.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n".repeat(2));
    }

    @Test
    void aPlannedRestartUnderLoadLosesNoTxnAndEndsWithZero() throws Exception {
        start();
        replica.delayMillis = 30;
        AtomicInteger answered = new AtomicInteger();
        List<String> odd = new CopyOnWriteArrayList<>();
        List<Thread> load = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            int n = i;
            Thread thread = new Thread(() -> {
                try (TestClient c = connect()) {
                    for (int k = 0; k < 400; k++) {
                        String answer = c.ask(read("l" + n + "-" + k, 2000));
                        if (answer.equals("closed")) {
                            return;
                        }
                        if (answer.startsWith("T D:00ff27") && answer.endsWith("Z")) {
                            answered.incrementAndGet();
                        } else if (!answer.equals("E:53300 Z")) {
                            odd.add(answer);
                        }
                    }
                } catch (IOException e) {
                    odd.add(e.toString());
                }
            });
            thread.start();
            load.add(thread);
        }
        await(() -> answered.get() > 50);
        int before = answered.get();
        router.process.toHandle().destroy();
        TimeUnit.MILLISECONDS.sleep(400);
        // Who comes while others don't know yet is served.
        assertThat(connect().ask(read("late", 2000))).isEqualTo("T D:00ff27 C:SELECT 1 Z");
        assertThat(router.process.waitFor(10, TimeUnit.SECONDS)).isTrue();
        for (Thread thread : load) {
            thread.join();
        }
        assertThat(odd).isEmpty();
        assertThat(answered.get()).isGreaterThan(before);
        assertThat(router.process.exitValue()).isZero();
    }

    @Test
    void whatCannotStartSaysWhyInOneLineAndExitsWithOne() throws Exception {
        ServerSocket taken = closeAfterTest(new ServerSocket(0, 5, InetAddress.getLoopbackAddress()));
        String config = config(taken.getLocalPort());
        for (String text : List.of(
                "",
                "{",
                "[]",
                config.replace("127.0.0.1:" + taken.getLocalPort(), "nowhere"),
                config.replace("\"seed\":\"1f\"", "\"seed\":\"dice\""),
                config)) {
            RouterProcess program = closeAfterTest(new RouterProcess(folder, text, taken.getLocalPort()));
            assertThat(program.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
            append(program.process.exitValue() + " "
                    + program.log()
                            .replaceAll("(?s)/\\S*config\\d*.json", "FILE")
                            .lines()
                            .filter(l -> !l.contains(" INFO "))
                            .collect(Collectors.joining("; ")));
        }
        assertThat(transcript.toString()).isEqualTo("""
                1 beaconladder: bad JSON at character 0: the text ends where a value belongs
                1 beaconladder: bad JSON at character 1: Unexpected end-of-input: expected close marker for \
                Object
                1 beaconladder: no JSON object in FILE
                1 beaconladder: 'listen' is no address with a port
                1 beaconladder: the seed is no hexadecimal number
                1 beaconladder: Address already in use
                """);
    }
}
