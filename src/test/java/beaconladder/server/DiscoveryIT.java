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
 * Several routers, each with a discovery agent that fails in a different way while a host is drained. The test checks
 * which requests that host receives.
 */
@Timeout(120)
class DiscoveryIT {
    /** The time until a router has applied an endpoint list that it can fetch. */
    private static final long NOTICE_MILLIS = 6_000;
    /** The time until a router has applied the endpoint list of the agent that a SIGHUP assigns to it. */
    private static final long HANGUP_NOTICE_MILLIS = 4_000;
    /** The time after its notice during which a draining host may still be sent requests. */
    private static final long GRACE_MILLIS = 2_000;

    private static final long SLACK_MILLIS = 50;
    /** How long an agent does not answer; its endpoint list applies as soon as it answers again. */
    private static final long OUTAGE_MILLIS = 4_800;

    @TempDir
    Path folder;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private final List<Thread> clients = new ArrayList<>();
    private PipeliningClients pipeliningClients;
    private volatile boolean finished;
    private HostStandIn primary;
    private HostStandIn remainingReplica;
    private HostStandIn drainingReplica;

    @BeforeEach
    void startHosts() throws Exception {
        primary = closeAfterTest(new HostStandIn("leader"));
        remainingReplica = closeAfterTest(new HostStandIn("follower"));
        drainingReplica = closeAfterTest(new HostStandIn("follower"));
        pipeliningClients = new PipeliningClients(List.of(primary, remainingReplica, drainingReplica), port -> false);
    }

    @AfterEach
    void closeResources() throws Exception {
        finished = true;
        for (Thread thread : clients) {
            thread.join(20_000);
        }
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    @Test
    void noNewRequestReachesADrainingHostOnceTheRouterCountsAsNotified() throws Exception {
        List<Consumer<DiscoveryStandIn>> faults = List.of(
                DiscoveryStandIn::silenceOpenConnections,
                agent -> agent.manner = Manner.HALF,
                agent -> agent.manner = Manner.DRIP,
                agent -> agent.manner = Manner.SILENT,
                agent -> agent.garbage = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[}");
        List<DiscoveryStandIn> agents = new ArrayList<>();
        List<RouterProcess> routers = new ArrayList<>();
        for (int i = 0; i < faults.size(); i++) {
            agents.add(startAgent());
            routers.add(startRouter("n" + i, agents.get(i)));
            startLoad("f" + i, routers.get(i));
        }
        DiscoveryStandIn newAgent = startAgent();
        newAgent.list(true, drainingEntries());
        DiscoveryStandIn oldAgent = startAgent();
        int port = RouterProcess.freePort();
        RouterProcess reloadedRouter = closeAfterTest(new RouterProcess(folder, config("m", port, oldAgent), port))
                .awaitReady();
        startLoad("m", reloadedRouter);
        awaitRequestsAtDrainingReplica(List.of("f0-", "f1-", "f2-", "f3-", "f4-", "m-"));
        long startMillis = System.currentTimeMillis();
        for (int i = 0; i < faults.size(); i++) {
            faults.get(i).accept(agents.get(i));
            agents.get(i).list(true, drainingEntries());
        }
        reloadedRouter.reload(config("m", port, newAgent));
        oldAgent.manner = Manner.SILENT;
        TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
        long restoredMillis = System.currentTimeMillis();
        agents.forEach(agent -> {
            agent.manner = Manner.ANSWER;
            agent.garbage = null;
        });
        TimeUnit.MILLISECONDS.sleep(NOTICE_MILLIS + GRACE_MILLIS + 2_000 - OUTAGE_MILLIS);
        for (int i = 0; i < faults.size(); i++) {
            // The first agent was reachable all the time over a new connection.
            long noticeMillis = i == 0 ? startMillis + NOTICE_MILLIS : restoredMillis;
            assertThat(receivedAfter("f" + i + "-", noticeMillis + GRACE_MILLIS + SLACK_MILLIS))
                    .as("fault " + i + "\n" + routers.get(i).log())
                    .isFalse();
        }
        assertThat(receivedAfter("m-", startMillis + HANGUP_NOTICE_MILLIS + GRACE_MILLIS))
                .as("moved")
                .isFalse();
        // The host drained: all requests are served by the others, without unexpected answers.
        assertThat(pipeliningClients.odd).isEmpty();
        assertThat(pipeliningClients.served.get()).isGreaterThan(500);
    }

    /** The agent's endpoint list applies from the start, even if the router's configuration lists the host as ready. */
    @Test
    void aNewRouterSendsNothingToAHostThatItsAgentListsAsDrainingEvenIfTheAgentIsSlow() throws Exception {
        List<DiscoveryStandIn> agents = List.of(startAgent(), startAgent());
        agents.get(1).lateMillis = 700;
        for (int i = 0; i < agents.size(); i++) {
            agents.get(i).list(true, drainingEntries().replace(",", " ,\n  "));
            startLoad("s" + i, startRouter("s" + i, agents.get(i)));
        }
        Awaitility.await().until(() -> pipeliningClients.served.get() > 200);
        assertThat(receivedAfter("s0-", 0)).isFalse();
        assertThat(receivedAfter("s1-", 0)).isFalse();
        assertThat(pipeliningClients.odd).isEmpty();
    }

    /** Guards against a router that no longer uses its only replica after its first connections there failed. */
    @Test
    void aReplicaWhoseFirstConnectionsFailIsUsedOnceTheySucceed() throws Exception {
        drainingReplica.greetMillis = 400;
        startLoad("r", startRouter("r", startAgent()));
        // A read at the primary shows that the replica was tried in vain.
        Awaitility.await().until(() -> primary.queries().stream().anyMatch(query -> query.startsWith("SELECT")));
        drainingReplica.greetMillis = 0;
        awaitRequestsAtDrainingReplica(List.of("r-"));
        assertThat(pipeliningClients.odd).isEmpty();
    }

    // ---- Helpers ------------------------------------------------------------------------------------------

    private boolean receivedAfter(String name, long millis) {
        return drainingReplica.queries().stream()
                .filter(query -> query.contains("id=" + name))
                .anyMatch(query -> !drainingReplica.sawBefore(query.replaceAll(".*(id=[^,]*,).*", "$1"), millis));
    }

    /** Waits until the replica that is to drain has received a request of each router, by the prefixes of their ids. */
    private void awaitRequestsAtDrainingReplica(List<String> names) {
        Awaitility.await()
                .untilAsserted(() -> assertThat(names)
                        .as("routers that use the replica; unexpected answers: %s", pipeliningClients.odd)
                        .allMatch(name -> receivedAfter(name, 0)));
    }

    /**
     * Returns the entries before the drain. The other replica joins only then: a router whose first connection to the
     * one that is to drain fails on a busy machine would use the other one alone, and the test would show nothing.
     */
    private String initialEntries() {
        return primary.entry("a", "Ready") + "," + drainingReplica.entry("c", "Ready");
    }

    private String drainingEntries() {
        return primary.entry("a", "Ready") + "," + remainingReplica.entry("b", "Ready") + ","
                + drainingReplica.entry("c", "Terminating");
    }

    private DiscoveryStandIn startAgent() throws Exception {
        DiscoveryStandIn agent = closeAfterTest(new DiscoveryStandIn());
        agent.waitMillis = 60_000;
        agent.list(true, initialEntries());
        return agent;
    }

    private String config(String name, int port, DiscoveryStandIn agent) {
        return RouterFile.of(name, port, agent, 256, 144, initialEntries());
    }

    private RouterProcess startRouter(String name, DiscoveryStandIn agent) throws Exception {
        int port = RouterProcess.freePort();
        return closeAfterTest(new RouterProcess(folder, config(name, port, agent), port))
                .awaitReady();
    }

    private void startLoad(String name, RouterProcess router) {
        Thread thread = new Thread(() -> {
            SplittableRandom random = new SplittableRandom(name.hashCode());
            try (TestClient client = pipeliningClients.open(router.port)) {
                for (int k = 0; !finished; k++) {
                    pipeliningClients.ask(router.port, client, name + "-" + k, 1, random);
                    TimeUnit.MILLISECONDS.sleep(10);
                }
            } catch (Exception e) {
                pipeliningClients.odd.add(name + " " + e);
            }
        });
        clients.add(thread);
        thread.start();
    }

    private <T extends AutoCloseable> T closeAfterTest(T resource) {
        resources.add(0, resource);
        return resource;
    }
}
