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

/** Limits, the endpoint list, a reload, a planned restart, and starts that fail. */
@Timeout(60)
class RouterLifecycleIT extends RouterProcessFixture {
    @Test
    void connectionsThatAreClosedLeakNoDescriptorsOrThreads() throws Exception {
        start();
        for (int i = 0; i < 20; i++) {
            query(connect(), read("x", 2000));
        }
        closeClients();
        await(() -> router.openFileCount() < 60);
        int filesBefore = router.openFileCount();
        for (int i = 0; i < 300; i++) {
            TestClient client = connect();
            if (i % 3 == 0) {
                MessageWriter.query(read("x" + i, 2000)).writeTo(client.out);
            } else if (i % 3 == 1) {
                query(client, read("x" + i, 2000));
            }
            client.close();
        }
        await(() -> router.openFileCount() <= filesBefore + 5);
        assertThat(router.threadCount()).isLessThan(100);
    }

    @Test
    void aClientThatDoesNotReadDelaysNoOtherClient() throws Exception {
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
    void nearTheDescriptorLimitIdleConnectionsAreClosedFirstAndClientsInExcessGetAnError() throws Exception {
        maxDescriptors = 76;
        start();
        List<TestClient> idleClients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            idleClients.add(connect());
            TimeUnit.MILLISECONDS.sleep(15);
        }
        append(
                "the newest of 30 " + idleClients.get(29).ask(""),
                "the oldest " + idleClients.get(0).answer());
        replica.delayMillis = 1500;
        primary.delayMillis = 1500;
        List<TestClient> busyClients = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            TestClient client =
                    new TestClient(closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), router.port)));
            MessageWriter.startup("app", "shop")
                    .append(MessageWriter.query(read("b" + i, 3000)))
                    .writeTo(client.out);
            busyClients.add(client);
        }
        List<String> answers = new ArrayList<>();
        for (TestClient client : busyClients) {
            String firstAnswer = client.answer();
            answers.add(firstAnswer.startsWith("E") ? firstAnswer : client.answer());
        }
        assertThat(answers)
                .allMatch(e -> List.of("T D:00ff27 C:SELECT 1 Z", "E:53300 Z", "E:53300 closed")
                        .contains(e))
                .contains("E:53300 closed")
                .contains("T D:00ff27 C:SELECT 1 Z");
        assertThat(transcript.toString()).isEqualTo("the newest of 30 I Z\nthe oldest closed\n");
    }

    /** The smallest memory setting allows 64 threads, and a request in flight takes one. */
    @Test
    void aRequestForWhichNoThreadIsAvailableIsRejectedImmediately() throws Exception {
        memoryMb = 1;
        start();
        replica.delayMillis = 1000;
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 80; i++) {
            clients.add(connect());
        }
        for (TestClient client : clients) {
            MessageWriter.query(read("x" + clients.indexOf(client), 2000)).writeTo(client.out);
        }
        TimeUnit.MILLISECONDS.sleep(200);
        // Requests without a thread have their answers while the others still wait for the host.
        List<String> earlyAnswers = new ArrayList<>();
        for (TestClient client : clients) {
            if (client.waiting() > 0) {
                earlyAnswers.add(client.answer());
            }
        }
        assertThat(earlyAnswers).isNotEmpty().hasSizeLessThan(40).containsOnly("E:53300 Z");
        assertThat(router.threadCount()).isLessThan(100);
    }

    @Test
    void theEndpointListIsFollowedAndStaysInForceWhileDiscoverySendsInvalidResponses() throws Exception {
        start();
        TestClient client = connect();
        append("at first " + client.ask(read("r1", 1500)));
        for (String invalid : List.of(
                "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"version\":",
                "nonsense\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"version",
                "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" + "{\"version\":99,\"full\":true,\"servers\":[7]}")) {
            int callsBefore = discovery.calls.get();
            discovery.garbage = invalid;
            await(() -> discovery.calls.get() >= callsBefore + 2);
            discovery.garbage = null;
            append("after an invalid response " + client.ask(read("r2", 1500)));
        }
        assertThat(discovery.calls.get()).isLessThan(60);
        HostStandIn newReplica = closeAfterTest(new HostStandIn("follower"));
        discovery.list(false, newReplica.entry("d", "Ready"), replica.entry("b", "Terminating"));
        int queriesAtReplica = replica.queries.size();
        await(() -> newReplica.queries.isEmpty()
                && query(client, read("r3", 1500)).contains("C:")
                && !newReplica.queries.isEmpty());
        int queriesWhileDraining = replica.queries.size();
        append("draining " + client.ask(read("r4", 1500))
                + (replica.queries.size() == queriesWhileDraining ? "" : " at the drained host"));
        HostStandIn replacement = closeAfterTest(new HostStandIn("follower"));
        discovery.list(true, primary.entry("a", "Ready"), replacement.entry("d", "Ready"));
        await(() -> query(client, read("r5", 1500)).contains("C:") && !replacement.queries.isEmpty());
        int queriesAtOldAddress = newReplica.queries.size();
        append("moved " + client.ask(read("r6", 1500))
                + (newReplica.queries.size() == queriesAtOldAddress ? "" : " at the old address"));
        assertThat(queriesAtReplica).isLessThanOrEqualTo(queriesWhileDraining);
        assertThat(transcript.toString())
                .isEqualTo("at first T D:00ff27 C:SELECT 1 Z\n"
                        + "after an invalid response T D:00ff27 C:SELECT 1 Z\n".repeat(5)
                        + "draining T D:00ff27 C:SELECT 1 Z\nmoved T D:00ff27 C:SELECT 1 Z\n");
    }

    @Test
    void aReloadChangesTheDiscoveryAddressAndAnInvalidFileChangesNothing() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        long rejections = 0;
        for (int i = 0; i < 2; i++) {
            DiscoveryStandIn oldDiscovery = discovery;
            HostStandIn newReplica = closeAfterTest(new HostStandIn("follower"));
            discovery = closeAfterTest(new DiscoveryStandIn());
            discovery.list(true, primary.entry("a", "Ready"), newReplica.entry("d" + i, "Ready"));
            router.reload(config(router.port));
            long startNanoTime = System.nanoTime();
            await(() ->
                    query(client, read("r" + System.nanoTime(), 1500)).contains("C:") && !newReplica.queries.isEmpty());
            assertThat(System.nanoTime() - startNanoTime).isLessThan(3_000_000_000L);
            int callsBefore = oldDiscovery.calls.get();
            oldDiscovery.close();
            for (String invalid : List.of(
                    "",
                    "{",
                    config(router.port).replace("\"discovery\":\"127", "\"d\":\"1"),
                    config(router.port).replace("\"role\":\"leader\"}", "\"state\":\"Asleep\"}"))) {
                router.reload(invalid);
                long expectedRejections = ++rejections;
                await(() -> router.log()
                                .lines()
                                .filter(l -> l.contains("not reloaded"))
                                .count()
                        == expectedRejections);
            }
            assertThat(oldDiscovery.calls.get()).isEqualTo(callsBefore);
            append(client.ask(read("after" + i, 1500)));
        }
        router.process.toHandle().destroy();
        assertThat(router.process.waitFor(10, TimeUnit.SECONDS)).isTrue();
        assertThat(router.process.exitValue()).isZero();
        assertThat(router.log().lines().filter(l -> l.contains("not reloaded"))).hasSize(8);
        assertThat(transcript.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n".repeat(2));
    }

    @Test
    void aPlannedRestartUnderLoadLosesNoRequestAndExitsWithZero() throws Exception {
        start();
        replica.delayMillis = 30;
        AtomicInteger answered = new AtomicInteger();
        List<String> unexpected = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            int n = i;
            Thread thread = new Thread(() -> {
                try (TestClient client = connect()) {
                    for (int k = 0; k < 400; k++) {
                        String answer = client.ask(read("l" + n + "-" + k, 2000));
                        if (answer.equals("closed")) {
                            return;
                        }
                        if (answer.startsWith("T D:00ff27") && answer.endsWith("Z")) {
                            answered.incrementAndGet();
                        } else if (!answer.equals("E:53300 Z")) {
                            unexpected.add(answer);
                        }
                    }
                } catch (IOException e) {
                    unexpected.add(e.toString());
                }
            });
            thread.start();
            threads.add(thread);
        }
        await(() -> answered.get() > 50);
        int oldDiscovery = answered.get();
        router.process.toHandle().destroy();
        TimeUnit.MILLISECONDS.sleep(400);
        // Clients that connect during the notice period are served.
        assertThat(connect().ask(read("late", 2000))).isEqualTo("T D:00ff27 C:SELECT 1 Z");
        assertThat(router.process.waitFor(10, TimeUnit.SECONDS)).isTrue();
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(unexpected).isEmpty();
        assertThat(answered.get()).isGreaterThan(oldDiscovery);
        assertThat(router.process.exitValue()).isZero();
    }

    @Test
    void aFailedStartPrintsItsReasonInOneLineAndExitsWithOne() throws Exception {
        ServerSocket occupiedPort = closeAfterTest(new ServerSocket(0, 5, InetAddress.getLoopbackAddress()));
        String config = config(occupiedPort.getLocalPort());
        for (String text : List.of(
                "",
                "{",
                "[]",
                config.replace("127.0.0.1:" + occupiedPort.getLocalPort(), "nowhere"),
                config.replace("\"seed\":\"1f\"", "\"seed\":\"dice\""),
                config)) {
            RouterProcess program = closeAfterTest(new RouterProcess(folder, text, occupiedPort.getLocalPort()));
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
