package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.DiscoveryStandIn;
import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Starts the packaged router as operators do, between stand-ins for clients, hosts and discovery. */
@Timeout(60)
abstract class RouterProcessFixture {
    private static final String READ = "SELECT doc FROM items WHERE id = 'k' /* id=%s,c=any,t=acme,d=%d,cluster=1 */";
    private static final String WRITE = "INSERT INTO items (id, doc) VALUES ('k', '\\x9f03') RETURNING doc "
            + "/* id=%s,c=write,t=acme,d=%d,cluster=1 */";

    @TempDir
    Path folder;

    final List<AutoCloseable> resources = new ArrayList<>();
    final StringBuilder transcript = new StringBuilder();
    int maxDescriptors = 1024;
    int memoryMb = 192;
    /** The plan of cells, or null for none. */
    Path planFile;

    HostStandIn primary;
    HostStandIn replica;
    DiscoveryStandIn discovery;
    RouterProcess router;

    @BeforeEach
    void startStandIns() throws IOException {
        primary = closeAfterTest(new HostStandIn("leader"));
        replica = closeAfterTest(new HostStandIn("follower"));
        discovery = closeAfterTest(new DiscoveryStandIn());
        discovery.list(true, primary.entry("a", "Ready"), replica.entry("b", "Ready"));
    }

    @AfterEach
    void closeResources() throws Exception {
        for (AutoCloseable each : resources) {
            each.close();
        }
    }

    static String read(String id, int millis) {
        return READ.formatted(id, millis);
    }

    static String write(String id, int millis) {
        return WRITE.formatted(id, millis);
    }

    static String query(TestClient client, String query) {
        try {
            return client.ask(query);
        } catch (IOException e) {
            return e.toString();
        }
    }

    void append(String... lines) {
        for (String line : lines) {
            transcript.append(line).append('\n');
        }
    }

    static void await(BooleanSupplier done) {
        Awaitility.await()
                .atMost(Duration.ofSeconds(15))
                .pollInterval(Duration.ofMillis(10))
                .until(done::getAsBoolean);
    }

    synchronized <T extends AutoCloseable> T closeAfterTest(T each) {
        resources.add(0, each);
        return each;
    }

    void closeClients() throws IOException {
        for (AutoCloseable each : List.copyOf(resources)) {
            if (each instanceof TestClient client) {
                client.close();
            }
        }
    }

    TestClient connect() throws IOException {
        return greeted(new TestClient(new Socket(InetAddress.getLoopbackAddress(), router.port)));
    }

    /** Completes the startup of a client that has just connected. */
    TestClient greeted(TestClient client) throws IOException {
        closeAfterTest(client);
        MessageWriter.startup("app", "shop").writeTo(client.out);
        assertThat(client.answer()).isEqualTo("R S S S S K Z");
        return client;
    }

    void start() throws Exception {
        int port = RouterProcess.freePort();
        router = closeAfterTest(new RouterProcess(folder, config(port), port, "", planFile))
                .awaitReady();
    }

    String config(int port) {
        return RouterProcess.config(port, discovery, maxDescriptors, memoryMb, primary.entry("a", "Ready"));
    }
}
