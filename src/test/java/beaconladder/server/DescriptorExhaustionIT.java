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

/** Idle clients hold every descriptor they can get while discovery is down. */
@Timeout(90)
class DescriptorExhaustionIT extends RouterProcessFixture {
    private static final int LIMIT = 80;
    private static final int IDLE = 2 * LIMIT;

    @Test
    void discoveryIsReachedAfterItsOutageAndAtANewAddressAndTheRouterDrains() throws Exception {
        maxDescriptors = LIMIT;
        int port = RouterProcess.freePort();
        router = closeAfterTest(new RouterProcess(folder, config(port), port, "ulimit -n " + LIMIT + "; "))
                .ready();
        TestClient c = connect();
        query(c, read("warm", 2000));
        discovery.manner = Manner.SILENT;
        discovery.silenceOpenConnections();
        List<Socket> idle = new ArrayList<>();
        fill(idle);
        // Longer than the time-out of a silent watch: it has been retried, and the retry is silent too.
        TimeUnit.MILLISECONDS.sleep(5_500);
        fill(idle);

        HostStandIn d = closeAfterTest(new HostStandIn("follower"));
        discovery.list(true, primary.entry("a", "Ready"), replica.entry("b", "Terminating"), d.entry("d", "Ready"));
        discovery.manner = Manner.ANSWER;
        awaitServed(d, 2_050);

        HostStandIn e = closeAfterTest(new HostStandIn("follower"));
        discovery = closeAfterTest(new DiscoveryStandIn());
        discovery.list(true, primary.entry("a", "Ready"), d.entry("d", "Terminating"), e.entry("e", "Ready"));
        fill(idle);
        router.reload(config(port));
        awaitServed(e, 4_000);
        assertThat(router.openFileCount()).isLessThanOrEqualTo(LIMIT);

        router.signal("TERM");
        assertThat(router.process.waitFor(10, TimeUnit.SECONDS)).isTrue();
        assertThat(router.process.exitValue()).as(router.log()).isZero();
        assertThat(router.log()).contains("drained").doesNotContain("Too many open files", "ERROR");
    }

    /** Keeps this many connections open, each served or rejected; a rejected client connects again. */
    private void fill(List<Socket> idle) throws IOException {
        idle.removeIf(socket -> !isOpen(socket));
        while (idle.size() < IDLE) {
            Socket socket = closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), router.port));
            idle.add(socket);
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

    /** Within this many milliseconds a read of a new client is served at this host. */
    private void awaitServed(HostStandIn host, long millis) throws Exception {
        long until = System.nanoTime() + millis * 1_000_000;
        for (int i = 0; host.queries.isEmpty(); i++) {
            assertThat(System.nanoTime()).as(router.log()).isLessThan(until);
            try (TestClient one = new TestClient(new Socket(InetAddress.getLoopbackAddress(), router.port))) {
                MessageWriter.startup("app", "shop")
                        .append(MessageWriter.query(read("h" + host.port() + "-" + i, 1500)))
                        .writeTo(one.out);
                one.answer();
                one.answer();
            }
        }
    }
}
