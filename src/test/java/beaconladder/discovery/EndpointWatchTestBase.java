package beaconladder.discovery;

import beaconladder.testbed.DiscoveryStandIn;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;

/** Base class of tests that watch a stand-in for discovery. */
abstract class EndpointWatchTestBase {
    static final long GRACE_MILLIS = 2_000;
    final List<AutoCloseable> closeables = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : closeables) {
            each.close();
        }
    }

    DiscoveryStandIn discovery() throws Exception {
        DiscoveryStandIn discovery = new DiscoveryStandIn();
        synchronized (closeables) {
            closeables.add(discovery);
        }
        return discovery;
    }

    List<EndpointWatch.State> watch(DiscoveryStandIn discovery) {
        List<EndpointWatch.State> received = new CopyOnWriteArrayList<>();
        start(new EndpointWatch(
                address(discovery),
                GRACE_MILLIS,
                7,
                (complete, entries) -> entries.forEach(e -> received.add(e.state()))));
        return received;
    }

    void start(EndpointWatch watch) {
        Thread thread = new Thread(watch);
        thread.setDaemon(true);
        thread.start();
        synchronized (closeables) {
            closeables.add(watch::stop);
        }
    }

    static InetSocketAddress address(DiscoveryStandIn discovery) {
        return new InetSocketAddress("127.0.0.1", discovery.port());
    }

    static String host(String state) {
        return "{\"id\":\"s-1\",\"addr\":\"127.0.0.1:5432\",\"zone\":\"a\",\"cell\":1,\"state\":\"" + state
                + "\",\"started_ms\":0,\"role\":\"leader\"}";
    }
}
