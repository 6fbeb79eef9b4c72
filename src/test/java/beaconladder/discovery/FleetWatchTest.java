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
 * Thirty watches before one discovery that bears a call of each in three seconds and not more: whatever made them all
 * call at once, each hears the next change, and none is turned away when it is over.
 */
@Timeout(180)
class FleetWatchTest {
    private static final int WATCHES = 30;
    private static final int HOSTS = 40;
    private static final int CALL_LINES = 30;
    private static final int LINES = WATCHES * (HOSTS + CALL_LINES) / 3;
    private static final int QUEUE_MILLIS = 1_000;
    /** Twice what counts as told, as this machine may be busy. */
    private static final Duration HEARD = Duration.ofSeconds(12);

    private DiscoveryStandIn discovery;
    private final List<EndpointWatch> watches = new ArrayList<>();
    /** The launch of the first host that each watch heard last. */
    private final List<AtomicInteger> heard = new ArrayList<>();

    private int launch;

    @BeforeEach
    void start() throws Exception {
        discovery = new DiscoveryStandIn();
        discovery.waitMillis = 60_000;
        discovery.capacity = capacity();
        discovery.list(true, IntStream.range(0, HOSTS).mapToObj(i -> host(i, 0)).toArray(String[]::new));
        for (int i = 0; i < WATCHES; i++) {
            AtomicInteger last = new AtomicInteger(-1);
            heard.add(last);
            watches.add(watch(
                    new InetSocketAddress("127.0.0.1", discovery.port()),
                    i,
                    (complete, entries) -> entries.stream()
                            .filter(e -> e.id().equals("s-0"))
                            .forEach(e -> last.set((int) e.launchedMillis()))));
        }
    }

    @AfterEach
    void close() throws Exception {
        watches.forEach(EndpointWatch::stop);
        discovery.close();
    }

    /** All routers of a place come up at once. */
    @Test
    void aStartTogether() throws Exception {
        startAll();
        calmAfterwards();
    }

    /** It says nothing for as long as it takes that every watch has broken, and comes back. */
    @Test
    void anOutage() throws Exception {
        startAll();
        discovery.capacity = null;
        discovery.manner = Manner.SILENT;
        discovery.silenceOpenConnections();
        Thread.sleep(7_000);
        discovery.capacity = capacity();
        discovery.manner = Manner.ANSWER;
        calmAfterwards();
    }

    /** Others take up all that it bears while every watch has just been broken. */
    @Test
    void aBurstOfRefusals() throws Exception {
        startAll();
        discovery.garbage = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        discovery.list(false, host(1, 1));
        Thread.sleep(500);
        discovery.capacity.occupy(4_000);
        discovery.garbage = null;
        Thread.sleep(4_000);
        assertThat(discovery.capacity.refused()).isGreaterThan(WATCHES);
        calmAfterwards();
    }

    // ---- Helpers ------------------------------------------------------------------------------------------

    private EndpointWatch watch(InetSocketAddress at, int i, EndpointWatch.Listener listener) {
        return EndpointWatch.polling(at, 10_000, 1_000 + i, listener);
    }

    private static Capacity capacity() {
        return new Capacity(LINES, CALL_LINES, QUEUE_MILLIS);
    }

    private void startAll() throws Exception {
        for (EndpointWatch each : watches) {
            Thread thread = new Thread(each);
            thread.setDaemon(true);
            thread.start();
        }
        allHear(0);
    }

    /** A change is heard by all, then a second; between them nobody is turned away any more. */
    private void calmAfterwards() throws Exception {
        change();
        long refused = discovery.capacity.refused();
        Thread.sleep(5_000);
        assertThat(discovery.capacity.refused() - refused)
                .as("turned away in calm")
                .isLessThan(WATCHES);
        change();
    }

    private void change() {
        launch++;
        discovery.list(false, host(0, launch));
        allHear(launch);
    }

    private void allHear(int launched) {
        Awaitility.await()
                .atMost(HEARD)
                .pollInterval(Duration.ofMillis(20))
                .untilAsserted(() -> assertThat(heard.stream()
                                .filter(each -> each.get() == launched)
                                .count())
                        .as("watches that heard of launch " + launched + "; " + discovery.calls.get() + " calls, "
                                + discovery.capacity.refused() + " turned away")
                        .isEqualTo(WATCHES));
    }

    private static String host(int i, int launched) {
        return "{\"id\":\"s-" + i + "\",\"addr\":\"127.0.0.1:" + (5_432 + i) + "\",\"zone\":\"a\","
                + "\"cell\":1,\"state\":\"Ready\",\"started_ms\":" + launched + ",\"role\":\"leader\"}";
    }
}
