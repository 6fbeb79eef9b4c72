package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.DiscoveryStandIn;
import beaconladder.testbed.DiscoveryStandIn.Manner;
import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Idle clients hold as many descriptors as they can get while discovery is down: the router must still be able to
 * connect to discovery, also at a new address, and drain.
 */
@Timeout(90)
class DescriptorExhaustionIT extends RouterProcessFixture {
    private static final int DESCRIPTOR_LIMIT = 80;
    private static final int IDLE_CLIENTS = 2 * DESCRIPTOR_LIMIT;

    @Test
    void discoveryIsReachedAfterItsOutageAndAtANewAddressAndTheRouterDrains() throws Exception {
        maxDescriptors = DESCRIPTOR_LIMIT;
        int port = RouterProcess.freePort();
        router = closeAfterTest(new RouterProcess(folder, config(port), port, "ulimit -n " + DESCRIPTOR_LIMIT + "; "))
                .awaitReady();
        TestClient client = connect();
        query(client, read("warm", 2000));
        discovery.manner = Manner.SILENT;
        discovery.silenceOpenConnections();
        List<Socket> idleClients = new ArrayList<>();
        connectIdleClients(idleClients);
        // Longer than the timeout of a silent watch: the watch has been retried, and the retry gets no answer either.
        TimeUnit.MILLISECONDS.sleep(5_500);
        connectIdleClients(idleClients);

        HostStandIn secondReplica = closeAfterTest(new HostStandIn("follower"));
        discovery.list(
                true,
                primary.entry("a", "Ready"),
                replica.entry("b", "Terminating"),
                secondReplica.entry("d", "Ready"));
        discovery.manner = Manner.ANSWER;
        awaitServed(secondReplica, 2_050);

        HostStandIn thirdReplica = closeAfterTest(new HostStandIn("follower"));
        discovery = closeAfterTest(new DiscoveryStandIn());
        discovery.list(
                true,
                primary.entry("a", "Ready"),
                secondReplica.entry("d", "Terminating"),
                thirdReplica.entry("e", "Ready"));
        connectIdleClients(idleClients);
        router.reload(config(port));
        awaitServed(thirdReplica, 4_000);
        assertThat(router.openFileCount()).isLessThanOrEqualTo(DESCRIPTOR_LIMIT);

        router.sendSignal("TERM");
        assertThat(router.process.waitFor(10, TimeUnit.SECONDS)).isTrue();
        assertThat(router.process.exitValue()).as(router.log()).isZero();
        assertThat(router.log()).contains("drained").doesNotContain("Too many open files", "ERROR");
    }

    /** Replaces closed connections, so that all idle clients are connected; each is served or rejected. */
    private void connectIdleClients(List<Socket> idleClients) throws IOException {
        idleClients.removeIf(socket -> !isOpen(socket));
        while (idleClients.size() < IDLE_CLIENTS) {
            Socket socket = closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), router.port));
            idleClients.add(socket);
            MessageWriter.startup("app", "shop").writeTo(socket.getOutputStream());
        }
    }

    private static boolean isOpen(Socket socket) {
        try {
            socket.setSoTimeout(1);
            while (socket.getInputStream().available() > 0) {
                socket.getInputStream().read(new byte[1024]);
            }
            return socket.getInputStream().read() >= 0;
        } catch (java.net.SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Asserts that within this many milliseconds this host serves a read of a new client. */
    private void awaitServed(HostStandIn host, long millis) throws Exception {
        long deadlineNanoTime = System.nanoTime() + millis * 1_000_000;
        for (int i = 0; host.queries.isEmpty(); i++) {
            assertThat(System.nanoTime()).as(router.log()).isLessThan(deadlineNanoTime);
            try (TestClient client = new TestClient(new Socket(InetAddress.getLoopbackAddress(), router.port))) {
                MessageWriter.startup("app", "shop")
                        .append(MessageWriter.query(read("h" + host.port() + "-" + i, 1500)))
                        .writeTo(client.out);
                client.answer();
                client.answer();
            }
        }
    }
}
