package beaconladder.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import beaconladder.feed.InMemoryLog;
import beaconladder.feed.LogClient;
import beaconladder.feed.Proposal;
import beaconladder.feed.Relay;
import beaconladder.feed.RelayReport;
import beaconladder.testbed.ChildProcesses.Program;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A router that the feed configures applies or rejects versions, and restarts with the applied one after a kill. */
@Timeout(120)
class FeedConfiguredRouterIT {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String HOST = "{\"id\":\"h0\",\"addr\":\"127.0.0.1:9\",\"zone\":\"east\",\"cell\":0,"
            + "\"state\":\"Ready\",\"started_ms\":0,\"role\":\"leader\"}";

    @Test
    void versionsAreAppliedOrRejectedAndSurviveAKill(@TempDir Path folder) throws Exception {
        try (InMemoryLog log = new InMemoryLog();
                DiscoveryStandIn first = new DiscoveryStandIn();
                DiscoveryStandIn second = new DiscoveryStandIn();
                ChildProcesses programs = new ChildProcesses(folder)) {
            first.list(true, HOST);
            second.list(true, HOST);
            Relay relay = new Relay("a", ANY, List.of(log.address()), null, 10);
            Program router = programs.program(
                    "m0",
                    RouterFile.of("m0", ChildProcesses.freePort(), first, 256, 192, HOST),
                    "serve",
                    "--feed",
                    "a=127.0.0.1:" + relay.address().getPort(),
                    "--feed-store",
                    folder.resolve("fed").toString());
            router.start();
            await().atMost(TIMEOUT).until(() -> first.calls.get() > 0);
            assertThat(second.calls.get()).isZero();

            // A new address of discovery takes effect at once.
            LogClient logClient = new LogClient(List.of(log.address()), 5_000);
            String moved = "{\"discovery\":\"127.0.0.1:" + second.port() + "\"}";
            logClient.propose(new Proposal(0, Map.of("router.json", moved), List.of()));
            await().atMost(TIMEOUT).until(() -> second.calls.get() > 0);
            await().atMost(TIMEOUT)
                    .until(() -> logClient.status().counts().equals(List.of(new RelayReport.Count(1, 1, 0))));

            // An invalid document, and a setting that the feed must not change, are rejected and counted so.
            logClient.propose(new Proposal(1, Map.of("router.json", "{\"discovery\":\"nowhere\"}"), List.of()));
            await().atMost(TIMEOUT)
                    .until(() -> logClient
                            .status()
                            .counts()
                            .equals(List.of(new RelayReport.Count(2, 0, 1), new RelayReport.Count(1, 1, 0))));
            logClient.propose(new Proposal(2, Map.of("router.json", "{\"listen\":\"127.0.0.1:1\"}"), List.of()));
            await().atMost(TIMEOUT)
                    .until(() -> logClient
                            .status()
                            .counts()
                            .equals(List.of(new RelayReport.Count(3, 0, 1), new RelayReport.Count(1, 1, 0))));

            // Killed and without a relay, the router restarts with the version in force.
            relay.close();
            router.kill();
            int calls = second.calls.get();
            int before = first.calls.get();
            router.start();
            await().atMost(TIMEOUT).until(() -> second.calls.get() > calls);
            await().atMost(TIMEOUT).until(() -> router.log().contains("version 1 is applied from the disk"));
            assertThat(first.calls.get()).isEqualTo(before);
        }
    }

    @Test
    void anInvalidRelayAddressFailsTheStart(@TempDir Path folder) throws Exception {
        try (DiscoveryStandIn discovery = new DiscoveryStandIn();
                ChildProcesses programs = new ChildProcesses(folder)) {
            Program router = programs.program(
                    "m0",
                    RouterFile.of("m0", ChildProcesses.freePort(), discovery, 256, 192, HOST),
                    "serve",
                    "--feed",
                    "a=nowhere",
                    "--feed-store",
                    folder.resolve("fed").toString());
            router.start();
            assertThat(router.ended(20_000)).isTrue();
            assertThat(router.exit()).isEqualTo(1);
            assertThat(router.log()).contains("'a=nowhere' is no NAME=ADDRESS:PORT of a relay");
        }
    }
}
