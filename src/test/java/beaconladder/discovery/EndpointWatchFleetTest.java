package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.Capacity;
import beaconladder.testbed.DiscoveryStandIn;
import beaconladder.testbed.DiscoveryStandIn.Manner;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Thirty watches of one discovery that needs three seconds to serve one call of each. After all of them called at once,
 * for whichever reason, each receives the next change, and few calls are rejected afterwards.
 */
@Timeout(180)
class EndpointWatchFleetTest {
    private static final int WATCHES = 30;
    private static final int HOSTS = 40;
    private static final int CALL_LINES = 30;
    private static final int LINES_PER_SECOND = WATCHES * (HOSTS + CALL_LINES) / 3;
    private static final int QUEUE_MILLIS = 1_000;
    /** Twice the notification limit, as the machine may be busy. */
    private static final Duration RECEIPT_TIMEOUT = Duration.ofSeconds(12);

    private DiscoveryStandIn discovery;
    private final List<EndpointWatch> watches = new ArrayList<>();
    /** By watch, the launch number of the first host in the last list that it received. */
    private final List<AtomicInteger> lastLaunches = new ArrayList<>();

    private int launch;

    @BeforeEach
    void start() throws Exception {
        discovery = new DiscoveryStandIn();
        discovery.waitMillis = 60_000;
        discovery.capacity = capacity();
        discovery.list(true, IntStream.range(0, HOSTS).mapToObj(i -> host(i, 0)).toArray(String[]::new));
        for (int i = 0; i < WATCHES; i++) {
            AtomicInteger lastLaunch = new AtomicInteger(-1);
            lastLaunches.add(lastLaunch);
            watches.add(watch(
                    new InetSocketAddress("127.0.0.1", discovery.port()),
                    i,
                    (complete, entries) -> entries.stream()
                            .filter(e -> e.id().equals("s-0"))
                            .forEach(e -> lastLaunch.set((int) e.launchedMillis()))));
        }
    }

    @AfterEach
    void close() throws Exception {
        watches.forEach(EndpointWatch::stop);
        discovery.close();
    }

    /** All routers of a site start at once. */
    @Test
    void watchesRecoverAfterSimultaneousStart() throws Exception {
        startAll();
        assertSteadyAfterwards();
    }

    /** Discovery does not respond until every watch has timed out, and then recovers. */
    @Test
    void watchesRecoverAfterOutage() throws Exception {
        startAll();
        discovery.capacity = null;
        discovery.manner = Manner.SILENT;
        discovery.silenceOpenConnections();
        Thread.sleep(7_000);
        discovery.capacity = capacity();
        discovery.manner = Manner.ANSWER;
        assertSteadyAfterwards();
    }

    /** Other clients use up the capacity just after the watches were rejected. */
    @Test
    void watchesRecoverAfterBurstOfRejections() throws Exception {
        startAll();
        discovery.garbage = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        discovery.list(false, host(1, 1));
        Thread.sleep(500);
        discovery.capacity.occupy(4_000);
        discovery.garbage = null;
        Thread.sleep(4_000);
        assertThat(discovery.capacity.refused()).isGreaterThan(WATCHES);
        assertSteadyAfterwards();
    }

    // ---- Helpers ------------------------------------------------------------------------------------------

    private EndpointWatch watch(InetSocketAddress address, int i, EndpointWatch.Listener listener) {
        return EndpointWatch.polling(address, 10_000, 1_000 + i, listener);
    }

    private static Capacity capacity() {
        return new Capacity(LINES_PER_SECOND, CALL_LINES, QUEUE_MILLIS);
    }

    private void startAll() throws Exception {
        for (EndpointWatch each : watches) {
            Thread thread = new Thread(each);
            thread.setDaemon(true);
            thread.start();
        }
        awaitAllNotified(0);
    }

    /** All receive one change and then a second; in between there are fewer rejections than watches. */
    private void assertSteadyAfterwards() throws Exception {
        change();
        long rejected = discovery.capacity.refused();
        Thread.sleep(5_000);
        assertThat(discovery.capacity.refused() - rejected)
                .as("rejected in steady state")
                .isLessThan(WATCHES);
        change();
    }

    private void change() {
        launch++;
        discovery.list(false, host(0, launch));
        awaitAllNotified(launch);
    }

    private void awaitAllNotified(int launched) {
        Awaitility.await()
                .atMost(RECEIPT_TIMEOUT)
                .pollInterval(Duration.ofMillis(20))
                .untilAsserted(() -> assertThat(lastLaunches.stream()
                                .filter(each -> each.get() == launched)
                                .count())
                        .as("watches that received launch " + launched + "; " + discovery.calls.get() + " calls, "
                                + discovery.capacity.refused() + " rejected")
                        .isEqualTo(WATCHES));
    }

    private static String host(int i, int launched) {
        return "{\"id\":\"s-" + i + "\",\"addr\":\"127.0.0.1:" + (5_432 + i) + "\",\"zone\":\"a\","
                + "\"cell\":1,\"state\":\"Ready\",\"started_ms\":" + launched + ",\"role\":\"leader\"}";
    }
}
