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

/** Starts the packaged program as operators do and talks to it over sockets, between stand-ins. */
@Timeout(60)
abstract class ServedProgram {
    private static final String READ = "SELECT doc FROM items WHERE id = 'k' /* id=%s,c=any,t=acme,d=%d,cluster=1 */";
    private static final String WRITE = "INSERT INTO items (id, doc) VALUES ('k', '\\x9f03') RETURNING doc "
            + "/* id=%s,c=write,t=acme,d=%d,cluster=1 */";

    @TempDir
    Path folder;

    final List<AutoCloseable> open = new ArrayList<>();
    final StringBuilder trace = new StringBuilder();
    int sockets = 1024;
    int memory = 192;
    HostStandIn a;
    HostStandIn b;
    DiscoveryStandIn discovery;
    Program router;

    @BeforeEach
    void standIns() throws IOException {
        a = keep(new HostStandIn("leader"));
        b = keep(new HostStandIn("follower"));
        discovery = keep(new DiscoveryStandIn());
        discovery.list(true, a.entry("a", "Ready"), b.entry("b", "Ready"));
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    static String read(String id, int millis) {
        return READ.formatted(id, millis);
    }

    static String write(String id, int millis) {
        return WRITE.formatted(id, millis);
    }

    static String ask(TestClient c, String query) {
        try {
            return c.ask(query);
        } catch (IOException e) {
            return e.toString();
        }
    }

    void say(String... lines) {
        for (String line : lines) {
            trace.append(line).append('\n');
        }
    }

    static void await(BooleanSupplier done) {
        Awaitility.await()
                .atMost(Duration.ofSeconds(15))
                .pollInterval(Duration.ofMillis(10))
                .until(done::getAsBoolean);
    }

    synchronized <T extends AutoCloseable> T keep(T each) {
        open.add(0, each);
        return each;
    }

    void closeCallers() throws IOException {
        for (AutoCloseable each : List.copyOf(open)) {
            if (each instanceof TestClient c) {
                c.close();
            }
        }
    }

    TestClient caller() throws IOException {
        TestClient c = keep(new TestClient(new Socket(InetAddress.getLoopbackAddress(), router.port)));
        MessageWriter.startup("app", "shop").writeTo(c.out);
        assertThat(c.answer()).isEqualTo("R S S S S K Z");
        return c;
    }

    void start() throws Exception {
        int port = Program.freePort();
        router = keep(new Program(folder, config(port), port)).ready();
    }

    String config(int port) {
        return Program.config(port, discovery, sockets, memory, a.entry("a", "Ready"));
    }
}
