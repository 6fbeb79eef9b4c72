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
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.Timeout;

/**
 * A change in discovery counts as notified 6 s later, and at the end of an outage only the grace period of draining
 * hosts remains. By then the watch has fetched it, whichever way a call fails.
 */
@Timeout(90)
class EndpointWatchTest extends WatchedDiscovery {
    private static final long NOTIFIED = 6_000;
    private static final long SLACK = 50;
    /**
     * A fault that starts while a watch waits, and the draining of a host right after it.
     *
     * @param lasts how long discovery is unavailable, in milliseconds
     */
    private record Case(String name, Consumer<DiscoveryStandIn> fault, long lasts) {
        long bound() {
            return lasts == 0 ? NOTIFIED : lasts + GRACE + SLACK;
        }
    }

    @TestFactory
    Stream<DynamicTest> drainingIsReceivedBeforeItCountsAsNotified() throws Exception {
        List<Case> cases = List.of(
                new Case("the link is cut and says nothing", DiscoveryStandIn::silenceOpenConnections, 0),
                new Case("half an answer, then silence", d -> d.manner = Manner.HALF, 500),
                new Case("half an answer, then the end", d -> d.manner = Manner.CUT, 3_000),
                new Case("bytes that drip", d -> d.manner = Manner.DRIP, 500),
                new Case("silence for a while, also to new calls", d -> d.manner = Manner.SILENT, 5_300),
                new Case("silence for long", d -> d.manner = Manner.SILENT, 20_500),
                new Case("nonsense", d -> d.garbage = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}", 4_000),
                new Case("a body without length, reset once its list looks whole", d -> d.manner = Manner.RESET, 4_000),
                new Case("answers that are late by 1.2 s", d -> d.lateMillis = 1_200, 0));
        Map<String, Long> took = new ConcurrentHashMap<>();
        List<Thread> all = new ArrayList<>();
        for (Case each : cases) {
            Thread thread = new Thread(() -> took.put(each.name(), millisUntilReceived(each)));
            thread.start();
            all.add(thread);
        }
        for (Thread thread : all) {
            thread.join();
        }
        return cases.stream()
                .map(each -> DynamicTest.dynamicTest(
                        each.name(),
                        () -> assertThat(took.get(each.name())).isNotNull().isLessThan(each.bound())));
    }

    /** Milliseconds from the start of the fault to the receipt of the change. */
    private long millisUntilReceived(Case each) {
        try {
            DiscoveryStandIn discovery = discovery();
            discovery.waitMillis = 60_000;
            discovery.list(true, host("Ready"));
            AtomicLong receivedAtNanos = new AtomicLong();
            start(new EndpointWatch(at(discovery), GRACE, 7, (complete, entries) -> {
                if (entries.get(0).state() == EndpointWatch.State.DRAINING) {
                    receivedAtNanos.compareAndSet(0, System.nanoTime());
                }
            }));
            Awaitility.await().until(() -> discovery.calls.get() >= 2);
            each.fault().accept(discovery);
            long startNanos = System.nanoTime();
            discovery.list(true, host("Terminating"));
            if (each.lasts() > 0) {
                Thread.sleep(each.lasts());
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

    @Test
    void constantlySlowDiscoveryIsReached() throws Exception {
        DiscoveryStandIn discovery = discovery();
        discovery.list(true, host("Ready"));
        discovery.lateMillis = 1_500;
        List<EndpointWatch.State> received = watch(discovery);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> received.contains(EndpointWatch.State.READY));
    }

    @Test
    void changedAddressCancelsTheCallAndIndentedListsAreRead() throws Exception {
        DiscoveryStandIn old = discovery();
        old.waitMillis = 60_000;
        old.list(true, host("Ready"));
        List<EndpointWatch.State> received = new ArrayList<>();
        EndpointWatch watch = new EndpointWatch(
                at(old), GRACE, 7, (complete, entries) -> entries.forEach(e -> received.add(e.state())));
        start(watch);
        Awaitility.await().until(() -> old.calls.get() >= 2);
        DiscoveryStandIn next = discovery();
        next.list(
                true,
                host("Terminating")
                        .replace(",", ",\n\t    ")
                        .replace(":", " :\r\n ")
                        .replace("127.0.0.1 :\r\n ", "127.0.0.1:"));
        long startNanos = System.nanoTime();
        watch.changeAddress(at(next));
        Awaitility.await()
                .pollInterval(Duration.ofMillis(5))
                .until(() -> received.contains(EndpointWatch.State.DRAINING));
        assertThat(System.nanoTime() - startNanos).isLessThan(1_000_000_000L);
        int calls = old.calls.get();
        Thread.sleep(300);
        assertThat(old.calls.get()).isEqualTo(calls);
    }

    /** No process answers, though the operating system accepts connections. */
    @Test
    void startWaitsForTheFirstListNoLongerThanItsBound() throws Exception {
        ServerSocket mute = new ServerSocket(0);
        open.add(mute);
        EndpointWatch watch = new EndpointWatch(
                new InetSocketAddress("127.0.0.1", mute.getLocalPort()), GRACE, 7, (complete, all) -> {});
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
