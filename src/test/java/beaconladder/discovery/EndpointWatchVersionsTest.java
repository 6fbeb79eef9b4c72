package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.DiscoveryStandIn;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a watch lost is asked for from what it has, the whole list only where nothing else fits. */
@Timeout(90)
class EndpointWatchVersionsTest extends WatchedDiscovery {
    /** A quiet watch, a broken one and one that fell silent ask for what changed; nothing is sent twice. */
    @Test
    void whatAWatchLostIsAskedForFromTheVersionItHas() throws Exception {
        DiscoveryStandIn discovery = discovery();
        discovery.waitMillis = 60_000;
        String[] hosts = new String[40];
        Arrays.setAll(hosts, i -> host("Ready").replace("s-1", "s-" + (i + 1)));
        discovery.list(true, hosts);
        List<EndpointWatch.State> heard = watch(discovery);
        Awaitility.await().until(() -> discovery.calls.get() >= 2);
        long first = discovery.bytes.get();
        // Given up quietly, then asked again without a wait.
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> discovery.calls.get() >= 4);
        discovery.silenceOpenConnections();
        discovery.list(false, host("Terminating"));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> heard.contains(EndpointWatch.State.DRAINING));
        assertThat(heard).hasSize(hosts.length + 1);
        assertThat(discovery.paths.get(0)).isEqualTo("/v1/servers");
        assertThat(discovery.paths.subList(1, discovery.paths.size()))
                .allMatch(path -> path.startsWith("/v1/servers?index="));
        assertThat(discovery.bytes.get() - first).isLessThan(first / 4);
    }

    /** One that has begun anew, with fewer versions than we heard of, is heard whole. */
    @Test
    void aVersionThatWentBackIsAskedForWhole() throws Exception {
        DiscoveryStandIn discovery = discovery();
        discovery.waitMillis = 60_000;
        discovery.list(true, host("Ready"));
        discovery.list(false, host("Ready"));
        discovery.list(false, host("Ready"));
        List<EndpointWatch.State> heard = watch(discovery);
        Awaitility.await().until(() -> discovery.calls.get() >= 2);
        discovery.restart(host("Terminating"));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> heard.contains(EndpointWatch.State.DRAINING));
    }

    /** Nonsense may have been news. */
    @Test
    void whatCannotBeReadIsAskedForWhole() throws Exception {
        DiscoveryStandIn discovery = discovery();
        discovery.list(true, host("Ready"));
        List<EndpointWatch.State> heard = watch(discovery);
        Awaitility.await().until(() -> discovery.calls.get() >= 2);
        discovery.garbage = "HTTP/1.1 200 OK\r\nContent-Length: 51\r\n\r\n"
                + "{\"version\":9,\"full\":false,\"servers\":[{\"id\":\"s-1\"}]}".substring(0, 51);
        Awaitility.await()
                .until(() ->
                        discovery.paths.stream().filter("/v1/servers"::equals).count() > 1);
        discovery.garbage = null;
        discovery.list(false, host("Terminating"));
        Awaitility.await().until(() -> heard.contains(EndpointWatch.State.DRAINING));
    }
}
