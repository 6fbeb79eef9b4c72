package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.DiscoveryStandIn;
import beaconladder.testbed.DiscoveryStandIn.Manner;
import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.PipeliningClients;
import beaconladder.testbed.RouterFile;
import beaconladder.testbed.TestClient;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Several routers, each with an agent of its own that fails in a way of its own while a host is taken out of service;
 * judged by what that host saw.
 */
@Timeout(120)
class DiscoveryIT {
    /** What could be reached counts as told so long after, and after SIGHUP; then comes the grace. */
    private static final long TOLD_MILLIS = 6_000;

    private static final long HANGUP_MILLIS = 4_000;
    private static final long GRACE_MILLIS = 2_000;
    private static final long SLACK_MILLIS = 50;
    /** So long nothing can be had of an agent; what it has at its return counts at once. */
    private static final long OUTAGE_MILLIS = 4_800;

    @TempDir
    Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final List<Thread> clients = new ArrayList<>();
    private PipeliningClients writers;
    private volatile boolean over;
    private HostStandIn leader;
    private HostStandIn stays;
    private HostStandIn goes;

    @BeforeEach
    void hosts() throws Exception {
        leader = keep(new HostStandIn("leader"));
        stays = keep(new HostStandIn("follower"));
        goes = keep(new HostStandIn("follower"));
        writers = new PipeliningClients(List.of(leader, stays, goes), port -> false);
    }

    @AfterEach
    void close() throws Exception {
        over = true;
        for (Thread client : clients) {
            client.join(20_000);
        }
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    @Test
    void noNewTxnReachesADrainingHostOnceItCountsAsTold() throws Exception {
        List<Consumer<DiscoveryStandIn>> faults = List.of(
                DiscoveryStandIn::silenceOpenConnections,
                agent -> agent.manner = Manner.HALF,
                agent -> agent.manner = Manner.DRIP,
                agent -> agent.manner = Manner.SILENT,
                agent -> agent.garbage = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[}");
        List<DiscoveryStandIn> agents = new ArrayList<>();
        List<RouterProcess> routers = new ArrayList<>();
        for (int i = 0; i < faults.size(); i++) {
            agents.add(agent());
            routers.add(router("n" + i, agents.get(i)));
            load("f" + i, routers.get(i));
        }
        DiscoveryStandIn moved = agent();
        moved.list(true, entries("Terminating"));
        DiscoveryStandIn before = agent();
        int port = RouterProcess.freePort();
        RouterProcess hungUp =
                keep(new RouterProcess(folder, file("m", port, before), port)).ready();
        load("m", hungUp);
        Awaitility.await()
                .until(() -> List.of("f0-", "f1-", "f2-", "f3-", "f4-", "m-").stream()
                        .allMatch(name -> sawAfter(name, 0)));
        long from = System.currentTimeMillis();
        for (int i = 0; i < faults.size(); i++) {
            faults.get(i).accept(agents.get(i));
            agents.get(i).list(true, entries("Terminating"));
        }
        hungUp.reload(file("m", port, moved));
        before.manner = Manner.SILENT;
        TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
        long back = System.currentTimeMillis();
        agents.forEach(agent -> {
            agent.manner = Manner.ANSWER;
            agent.garbage = null;
        });
        TimeUnit.MILLISECONDS.sleep(TOLD_MILLIS + GRACE_MILLIS + 2_000 - OUTAGE_MILLIS);
        for (int i = 0; i < faults.size(); i++) {
            // The first could be reached all the time over a new connection.
            long counts = i == 0 ? from + TOLD_MILLIS : back;
            assertThat(sawAfter("f" + i + "-", counts + GRACE_MILLIS + SLACK_MILLIS))
                    .as("fault " + i + "\n" + routers.get(i).log())
                    .isFalse();
        }
        assertThat(sawAfter("m-", from + HANGUP_MILLIS + GRACE_MILLIS))
                .as("moved")
                .isFalse();
        // It did drain: all is served at the others, and nothing was odd.
        assertThat(writers.odd).isEmpty();
        assertThat(writers.served.get()).isGreaterThan(500);
    }

    /** What the agent has counts from the first moment, whatever the file still says. */
    @Test
    void aNewProcessSendsNothingToAHostThatItsAgentSaysIsDrainingEvenWhereTheAgentIsSlow() throws Exception {
        List<DiscoveryStandIn> agents = List.of(agent(), agent());
        agents.get(1).lateMillis = 700;
        for (int i = 0; i < agents.size(); i++) {
            agents.get(i).list(true, entries("Terminating").replace(",", " ,\n  "));
            load("s" + i, router("s" + i, agents.get(i)));
        }
        Awaitility.await().until(() -> writers.served.get() > 200);
        assertThat(sawAfter("s0-", 0)).isFalse();
        assertThat(sawAfter("s1-", 0)).isFalse();
        assertThat(writers.odd).isEmpty();
    }

    // ---- Helpers ------------------------------------------------------------------------------------------

    private boolean sawAfter(String name, long millis) {
        return goes.queries().stream()
                .filter(query -> query.contains("id=" + name))
                .anyMatch(query -> !goes.sawBefore(query.replaceAll(".*(id=[^,]*,).*", "$1"), millis));
    }

    private String entries(String state) {
        return leader.entry("a", "Ready") + "," + stays.entry("b", "Ready") + "," + goes.entry("c", state);
    }

    private DiscoveryStandIn agent() throws Exception {
        DiscoveryStandIn agent = keep(new DiscoveryStandIn());
        agent.waitMillis = 60_000;
        agent.list(true, entries("Ready"));
        return agent;
    }

    private String file(String name, int port, DiscoveryStandIn agent) {
        return RouterFile.of(name, port, agent, 256, 144, entries("Ready"));
    }

    private RouterProcess router(String name, DiscoveryStandIn agent) throws Exception {
        int port = RouterProcess.freePort();
        return keep(new RouterProcess(folder, file(name, port, agent), port)).ready();
    }

    private void load(String name, RouterProcess router) {
        Thread client = new Thread(() -> {
            SplittableRandom chance = new SplittableRandom(name.hashCode());
            try (TestClient caller = writers.open(router.port)) {
                for (int k = 0; !over; k++) {
                    writers.ask(router.port, caller, name + "-" + k, 1, chance);
                    TimeUnit.MILLISECONDS.sleep(10);
                }
            } catch (Exception e) {
                writers.odd.add(name + " " + e);
            }
        });
        clients.add(client);
        client.start();
    }

    private <T extends AutoCloseable> T keep(T each) {
        open.add(0, each);
        return each;
    }
}
