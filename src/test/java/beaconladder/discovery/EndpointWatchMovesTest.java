package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.DiscoveryStandIn;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Discovery gets another address while a watch rests, as the one before could not be had. */
@Timeout(60)
class EndpointWatchMovesTest extends WatchedDiscovery {
    private static final int WATCHES = 8;

    @Test
    void restingWatchCallsANewAddressAtOnce() throws Exception {
        InetSocketAddress nobody;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        DiscoveryStandIn discovery = discovery();
        discovery.list(true, host("Ready"));
        CountDownLatch told = new CountDownLatch(WATCHES);
        List<EndpointWatch> watches = new ArrayList<>();
        for (int seed = 0; seed < WATCHES; seed++) {
            watches.add(EndpointWatch.polling(nobody, 10_000, seed, (complete, entries) -> told.countDown()));
            start(watches.get(seed));
        }
        // Each failure lets them rest longer; by now they do for seconds.
        Thread.sleep(8_000);
        watches.forEach(watch -> watch.changeAddress(at(discovery)));
        assertThat(told.await(1, TimeUnit.SECONDS))
                .as("all but " + told.getCount() + " within 1 s")
                .isTrue();
    }
}
