package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.DiscoveryStandIn;
import beaconladder.testbed.DiscoveryStandIn.Manner;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A change in discovery counts as notified after 6 s; after an outage only the grace period of draining hosts remains.
 * The watch has to fetch the change by then, however calls fail.
 */
@Timeout(90)
class EndpointWatchTest extends EndpointWatchTestBase {
    private static final long NOTIFICATION_LIMIT_MILLIS = 6_000;
    private static final long SLACK_MILLIS = 50;
    /**
     * A fault that starts while a watch waits, and a host that starts to drain right after it.
     *
     * @param outageMillis how long discovery is unavailable; 0 if new connections still work
     */
    private record Case(String name, Consumer<DiscoveryStandIn> fault, long outageMillis) {
        long boundMillis() {
            return outageMillis == 0 ? NOTIFICATION_LIMIT_MILLIS : outageMillis + GRACE_MILLIS + SLACK_MILLIS;
        }
    }

    @TestFactory
    Stream<DynamicTest> drainingIsReceivedBeforeItCountsAsNotified() throws Exception {
        List<Case> cases = List.of(
                new Case("open connections fall silent", DiscoveryStandIn::silenceOpenConnections, 0),
                new Case("half a response, then silence", d -> d.manner = Manner.HALF, 500),
                new Case("half a response, then the end of the connection", d -> d.manner = Manner.CUT, 3_000),
                new Case("a response that arrives byte by byte", d -> d.manner = Manner.DRIP, 500),
                new Case("no response to any call for 5.3 s", d -> d.manner = Manner.SILENT, 5_300),
                new Case("no response to any call for 20.5 s", d -> d.manner = Manner.SILENT, 20_500),
                new Case("invalid JSON", d -> d.garbage = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}", 4_000),
                new Case(
                        "a body without length, reset once its list looks complete",
                        d -> d.manner = Manner.RESET,
                        4_000),
                new Case("responses that are delayed by 1.2 s", d -> d.lateMillis = 1_200, 0));
        Map<String, Long> receivedAfterMillis = new ConcurrentHashMap<>();
        List<Thread> threads = new ArrayList<>();
        for (Case each : cases) {
            Thread thread = new Thread(() -> receivedAfterMillis.put(each.name(), millisUntilReceived(each)));
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return cases.stream()
                .map(each -> DynamicTest.dynamicTest(
                        each.name(),
                        () -> assertThat(receivedAfterMillis.get(each.name()))
                                .isNotNull()
                                .isLessThan(each.boundMillis())));
    }

    /** Milliseconds from the start of the fault to the receipt of the change. */
    private long millisUntilReceived(Case each) {
        try {
            DiscoveryStandIn discovery = discovery();
            discovery.waitMillis = 60_000;
            discovery.list(true, host("Ready"));
            AtomicLong receivedAtNanos = new AtomicLong();
            start(new EndpointWatch(address(discovery), GRACE_MILLIS, 7, (complete, entries) -> {
                if (entries.get(0).state() == EndpointWatch.State.DRAINING) {
                    receivedAtNanos.compareAndSet(0, System.nanoTime());
                }
            }));
            Awaitility.await().until(() -> discovery.calls.get() >= 2);
            each.fault().accept(discovery);
            long startNanos = System.nanoTime();
            discovery.list(true, host("Terminating"));
            if (each.outageMillis() > 0) {
                Thread.sleep(each.outageMillis());
                discovery.manner = Manner.ANSWER;
                discovery.garbage = null;
                discovery.lateMillis = 0;
            }
            Awaitility.await()
                    .atMost(Duration.ofSeconds(30))
                    .pollInterval(Duration.ofMillis(5))
                    .until(() -> receivedAtNanos.get() != 0);
            return (receivedAtNanos.get() - startNanos) / 1_000_000;
        } catch (Exception e) {
            throw new IllegalStateException(each.name(), e);
        }
    }

    /**
     * Guards against a call that is made in an outage of discovery and outlasts the grace after its end: in a watch
     * that had not been answered yet, calls of one and of 2.5 s were in flight. The first call takes a second; the
     * process serves no client before its end.
     */
    @TestFactory
    Stream<DynamicTest> aWatchThatStartsInAnOutageReceivesTheListWithinTheGrace() throws Exception {
        Map<String, Long> receivedAfterMillis = new ConcurrentHashMap<>();
        List<Thread> threads = new ArrayList<>();
        for (long graceMillis : List.of(500, 2_000)) {
            for (long outageMillis = 1_100; outageMillis <= 4_000; outageMillis += 290) {
                long silentMillis = outageMillis;
                Thread thread = new Thread(() -> receivedAfterMillis.put(
                        "grace of " + graceMillis + " ms, silent for " + silentMillis + " ms",
                        millisAfterOutage(graceMillis, silentMillis) - graceMillis));
                thread.start();
                threads.add(thread);
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(receivedAfterMillis).hasSameSizeAs(threads);
        return receivedAfterMillis.entrySet().stream()
                .map(each -> DynamicTest.dynamicTest(
                        each.getKey(), () -> assertThat(each.getValue()).isLessThan(SLACK_MILLIS)));
    }

    /** Milliseconds from the end of an outage, in which a watch starts, to the receipt of the list. */
    private long millisAfterOutage(long graceMillis, long outageMillis) {
        try {
            DiscoveryStandIn discovery = discovery();
            discovery.manner = Manner.SILENT;
            discovery.list(true, host("Terminating"));
            AtomicLong receivedAtNanos = new AtomicLong();
            start(new EndpointWatch(
                    address(discovery),
                    graceMillis,
                    7,
                    (complete, entries) -> receivedAtNanos.compareAndSet(0, System.nanoTime())));
            Thread.sleep(outageMillis);
            long endNanos = System.nanoTime();
            discovery.manner = Manner.ANSWER;
            Awaitility.await()
                    .atMost(Duration.ofSeconds(30))
                    .pollInterval(Duration.ofMillis(5))
                    .until(() -> receivedAtNanos.get() != 0);
            return (receivedAtNanos.get() - endNanos) / 1_000_000;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** The other side: a discovery that takes long for each answer is heard all the same, with any grace. */
    @ParameterizedTest
    @CsvSource({"500, 400", "500, 1500", "500, 2300", "2000, 400", "2000, 1500", "2000, 2300"})
    void constantlySlowDiscoveryIsReached(long graceMillis, int latencyMillis) throws Exception {
        DiscoveryStandIn discovery = discovery();
        discovery.list(true, host("Ready"));
        discovery.lateMillis = latencyMillis;
        List<EndpointWatch.State> received = new CopyOnWriteArrayList<>();
        start(new EndpointWatch(
                address(discovery),
                graceMillis,
                7,
                (complete, entries) -> entries.forEach(e -> received.add(e.state()))));
        Awaitility.await().atMost(Duration.ofSeconds(6)).until(() -> received.contains(EndpointWatch.State.READY));
        discovery.list(false, host("Terminating"));
        Awaitility.await().atMost(Duration.ofSeconds(6)).until(() -> received.contains(EndpointWatch.State.DRAINING));
    }

    @Test
    void aCallWithALongTimeoutEndsWithTheWatch() throws Exception {
        ServerSocket unresponsive = new ServerSocket(0);
        closeables.add(unresponsive);
        EndpointWatch watch = new EndpointWatch(
                new InetSocketAddress("127.0.0.1", unresponsive.getLocalPort()), 500, 7, (complete, entries) -> {});
        start(watch);
        Awaitility.await().until(() -> patientThreads() > 0);
        watch.stop();
        Awaitility.await().atMost(Duration.ofSeconds(2)).until(() -> patientThreads() == 0);
    }

    private static long patientThreads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().equals("discovery-patient-call"))
                .count();
    }

    @Test
    void changedAddressCancelsTheCallAndIndentedListsAreRead() throws Exception {
        DiscoveryStandIn previous = discovery();
        previous.waitMillis = 60_000;
        previous.list(true, host("Ready"));
        List<EndpointWatch.State> received = new ArrayList<>();
        EndpointWatch watch = new EndpointWatch(
                address(previous),
                GRACE_MILLIS,
                7,
                (complete, entries) -> entries.forEach(e -> received.add(e.state())));
        start(watch);
        Awaitility.await().until(() -> previous.calls.get() >= 2);
        DiscoveryStandIn next = discovery();
        next.list(
                true,
                host("Terminating")
                        .replace(",", ",\n\t    ")
                        .replace(":", " :\r\n ")
                        .replace("127.0.0.1 :\r\n ", "127.0.0.1:"));
        long startNanos = System.nanoTime();
        watch.changeAddress(address(next));
        Awaitility.await()
                .pollInterval(Duration.ofMillis(5))
                .until(() -> received.contains(EndpointWatch.State.DRAINING));
        assertThat(System.nanoTime() - startNanos).isLessThan(1_000_000_000L);
        int calls = previous.calls.get();
        Thread.sleep(300);
        assertThat(previous.calls.get()).isEqualTo(calls);
    }

    /** The operating system accepts connections, but no process responds. */
    @Test
    void startWaitsForTheFirstListNoLongerThanItsTimeout() throws Exception {
        ServerSocket unresponsive = new ServerSocket(0);
        closeables.add(unresponsive);
        EndpointWatch watch = new EndpointWatch(
                new InetSocketAddress("127.0.0.1", unresponsive.getLocalPort()),
                GRACE_MILLIS,
                7,
                (complete, entries) -> {});
        start(watch);
        long startNanos = System.nanoTime();
        Awaitility.await().pollInterval(Duration.ofMillis(5)).until(() -> !watch.isAwaitingFirstAnswer());
        assertThat(System.nanoTime() - startNanos).isBetween(1_800_000_000L, 2_500_000_000L);
    }

    @Test
    void immediateAnswersDoNotCauseABusyLoop() throws Exception {
        DiscoveryStandIn discovery = discovery();
        discovery.waitMillis = 0;
        discovery.list(true, host("Ready"));
        watch(discovery);
        Thread.sleep(1_000);
        assertThat(discovery.calls.get()).isBetween(3, 25);
    }
}
