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

/** The address of discovery changes while watches back off, because the previous address refused connections. */
@Timeout(60)
class EndpointWatchAddressChangeTest extends EndpointWatchTestBase {
    private static final int WATCHES = 8;

    @Test
    void watchInBackoffCallsANewAddressAtOnce() throws Exception {
        InetSocketAddress unreachable;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unreachable = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        DiscoveryStandIn discovery = discovery();
        discovery.list(true, host("Ready"));
        CountDownLatch listsReceived = new CountDownLatch(WATCHES);
        List<EndpointWatch> watches = new ArrayList<>();
        for (int seed = 0; seed < WATCHES; seed++) {
            watches.add(
                    EndpointWatch.polling(unreachable, 10_000, seed, (complete, entries) -> listsReceived.countDown()));
            start(watches.get(seed));
        }
        // Each failure lengthens the backoff; by then it takes seconds.
        Thread.sleep(8_000);
        watches.forEach(watch -> watch.changeAddress(address(discovery)));
        assertThat(listsReceived.await(1, TimeUnit.SECONDS))
                .as("all but " + listsReceived.getCount() + " watches received the list within 1 s")
                .isTrue();
    }
}
