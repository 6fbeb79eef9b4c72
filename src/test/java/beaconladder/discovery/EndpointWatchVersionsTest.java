package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.DiscoveryStandIn;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Missed changes are requested from the held version, the complete list only if that is impossible. */
@Timeout(90)
class EndpointWatchVersionsTest extends WatchedDiscovery {
    /** After a timeout, a broken connection and a lost answer only changes are requested; nothing is sent twice. */
    @Test
    void changesMissedByAWatchAreRequestedFromItsVersion() throws Exception {
        DiscoveryStandIn discovery = discovery();
        discovery.waitMillis = 60_000;
        String[] hosts = new String[40];
        Arrays.setAll(hosts, i -> host("Ready").replace("s-1", "s-" + (i + 1)));
        discovery.list(true, hosts);
        List<EndpointWatch.State> received = watch(discovery);
        Awaitility.await().until(() -> discovery.calls.get() >= 2);
        long first = discovery.bytes.get();
        // Times out without a change, then calls again without a wait.
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> discovery.calls.get() >= 4);
        discovery.silenceOpenConnections();
        discovery.list(false, host("Terminating"));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> received.contains(EndpointWatch.State.DRAINING));
        assertThat(received).hasSize(hosts.length + 1);
        assertThat(discovery.paths.get(0)).isEqualTo("/v1/servers");
        assertThat(discovery.paths.subList(1, discovery.paths.size()))
                .allMatch(path -> path.startsWith("/v1/servers?index="));
        assertThat(discovery.bytes.get() - first).isLessThan(first / 4);
    }

    /** One that has begun anew, with fewer versions than we heard of, is heard whole. */
    @Test
    void lowerVersionLeadsToARequestForTheCompleteList() throws Exception {
        DiscoveryStandIn discovery = discovery();
        discovery.waitMillis = 60_000;
        discovery.list(true, host("Ready"));
        discovery.list(false, host("Ready"));
        discovery.list(false, host("Ready"));
        List<EndpointWatch.State> received = watch(discovery);
        Awaitility.await().until(() -> discovery.calls.get() >= 2);
        discovery.restart(host("Terminating"));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> received.contains(EndpointWatch.State.DRAINING));
    }

    /** Nonsense may have been news. */
    @Test
    void invalidAnswerLeadsToARequestForTheCompleteList() throws Exception {
        DiscoveryStandIn discovery = discovery();
        discovery.list(true, host("Ready"));
        List<EndpointWatch.State> received = watch(discovery);
        Awaitility.await().until(() -> discovery.calls.get() >= 2);
        discovery.garbage = "HTTP/1.1 200 OK\r\nContent-Length: 51\r\n\r\n"
                + "{\"version\":9,\"full\":false,\"servers\":[{\"id\":\"s-1\"}]}".substring(0, 51);
        Awaitility.await()
                .until(() ->
                        discovery.paths.stream().filter("/v1/servers"::equals).count() > 1);
        discovery.garbage = null;
        discovery.list(false, host("Terminating"));
        Awaitility.await().until(() -> received.contains(EndpointWatch.State.DRAINING));
    }
}
