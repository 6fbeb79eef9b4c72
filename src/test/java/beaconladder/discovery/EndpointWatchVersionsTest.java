package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.DiscoveryStandIn;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A watch requests missed changes since the version that it holds, and the complete list only if that is impossible.
 */
@Timeout(90)
class EndpointWatchVersionsTest extends EndpointWatchTestBase {
    /** After a timeout, a broken connection and a lost response only changes are requested; nothing is sent twice. */
    @Test
    void changesMissedByAWatchAreRequestedFromItsVersion() throws Exception {
        DiscoveryStandIn discovery = discovery();
        discovery.waitMillis = 60_000;
        String[] entries = new String[40];
        Arrays.setAll(entries, i -> host("Ready").replace("s-1", "s-" + (i + 1)));
        discovery.list(true, entries);
        List<EndpointWatch.State> received = watch(discovery);
        Awaitility.await().until(() -> discovery.calls.get() >= 2);
        long bytesOfFirstList = discovery.bytes.get();
        // The watch times out without a change, and the next call does not wait.
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> discovery.calls.get() >= 4);
        discovery.silenceOpenConnections();
        discovery.list(false, host("Terminating"));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> received.contains(EndpointWatch.State.DRAINING));
        assertThat(received).hasSize(entries.length + 1);
        assertThat(discovery.paths.get(0)).isEqualTo("/v1/servers");
        assertThat(discovery.paths.subList(1, discovery.paths.size()))
                .allMatch(path -> path.startsWith("/v1/servers?index="));
        assertThat(discovery.bytes.get() - bytesOfFirstList).isLessThan(bytesOfFirstList / 4);
    }

    /** After a restart of discovery with fewer versions than the watch holds, the complete list is requested. */
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

    /** An invalid response may have had changes, so the complete list is requested. */
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
