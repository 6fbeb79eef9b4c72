package beaconladder.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What the two cases of drains share: one group, routers, and clients that read all the time. */
abstract class DrainCase extends ReviewCase {
    static final int REPLICAS = 4;
    /** As stated by the sites: rules.drain_grace_ms = 500. */
    static final int GRACE_MILLIS = 500;

    /** The clients of each router: with the pause and the work some fifty reads a second. */
    private static final int CLIENTS = 5;

    private static final int PAUSE_MILLIS = 40;
    private static final int WORK_MILLIS = 60;

    final List<MemberHost> hosts = new ArrayList<>();
    final List<String> states = new ArrayList<>();
    final List<Integer> ports = new ArrayList<>();
    final List<Path> configs = new ArrayList<>();
    final DiscoveryStandIn discovery;
    private volatile boolean clientsEnd;

    DrainCase() {
        try {
            discovery = new DiscoveryStandIn();
            discovery.waitMillis = 20_000;
            for (int i = 0; i <= REPLICAS; i++) {
                hosts.add(new MemberHost(i == 0));
                hosts.get(i).delayMillis = WORK_MILLIS;
                states.add("Ready");
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        list();
    }

    private String[] entries() {
        String[] entries = new String[hosts.size()];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = hosts.get(i).entry("h" + i, states.get(i));
        }
        return entries;
    }

    private void list() {
        discovery.list(true, entries());
    }

    /** Lists a host as draining; it finishes what it has, and answers what still comes, so that nothing else fails. */
    void drain(int host) {
        states.set(host, "Terminating");
        list();
    }

    /** Writes the config of one more router with the classes and limits of its site. */
    void addRouter(int discoveryPort, String discoveryMode, long[] aimsAndDeadlinesMillis) throws IOException {
        int port = freePort();
        ports.add(port);
        Path config = folder.resolve("n" + configs.size() + ".json");
        Files.writeString(
                config,
                """
                {"name":"n%d","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"version":0,"full":true,"servers":[%s]},
                 "settings":{"discovery":"%s","family_info":{"freshness":["loose","update"],"session_marks":"client"},
                  "limits":{"probes":true,"cancel":true,"second_copies":true,"max_attempts":6,
                   "dial_timeout_us":300000,"conn_idle_us":6000000},
                  "rules":{"drain_grace_us":%d,"fall_multiple":2,"fall_us":1000000},
                  "load_report":{"fields":["x0","x1","rif"],"how":"inline"},"fees":{"probe":0.04},
                  "round_us":5000,"replicas_of_me":%d,"zones":["east"],"parties":[{"name":"acme"}],
                  "request_classes":[
                   {"name":"any-read","effect":"pure","goal_time_us":%d,"give_up_us":%d,"points":2,"late_share":0.2},
                   {"name":"write","effect":"side_effect","goal_time_us":%d,"give_up_us":%d,"points":4,
                    "late_share":0.5}]}}"""
                        .formatted(
                                configs.size(),
                                port,
                                discoveryPort,
                                // New with each start, as the deployment page says.
                                System.nanoTime(),
                                String.join(",", entries()),
                                discoveryMode,
                                GRACE_MILLIS * 1_000,
                                4,
                                aimsAndDeadlinesMillis[0] * 1_000,
                                aimsAndDeadlinesMillis[1] * 1_000,
                                aimsAndDeadlinesMillis[2] * 1_000,
                                aimsAndDeadlinesMillis[3] * 1_000));
        configs.add(config);
    }

    /** Starts the clients of each router, which read all the time, on a new connection where one ends. */
    void startClients(int budgetMillis) {
        for (int client = 0; client < CLIENTS * ports.size(); client++) {
            int number = client % ports.size();
            String prefix = "n" + number + "-" + client + "-";
            StandInThreads.spawn(() -> {
                for (int i = 0; !clientsEnd; ) {
                    try (Client line = new Client(ports.get(number))) {
                        while (!clientsEnd) {
                            line.ask("SELECT doc FROM items WHERE id = 'k" + i % 50 + "' /* id=" + prefix + i++
                                    + ",c=any-read,t=acme,d=" + budgetMillis + ",cluster=1 */");
                            Thread.sleep(PAUSE_MILLIS);
                        }
                    } catch (IOException e) {
                        Thread.sleep(PAUSE_MILLIS);
                    }
                }
            });
        }
    }

    void endClients() throws InterruptedException {
        clientsEnd = true;
        Thread.sleep(300);
    }

    /** Reports what a draining host still got; returns how much came after the bound. */
    int report(int host, long drainMillis, long boundMillis) {
        int late = 0;
        long lastMillis = 0;
        StringBuilder routers = new StringBuilder();
        int[] lateByRouter = new int[ports.size()];
        long[] lastByRouter = new long[ports.size()];
        for (MemberHost.Arrival arrival : hosts.get(host).arrivals()) {
            if (arrival.atMillis() > drainMillis) {
                int router = Integer.parseInt(arrival.text().replaceAll("(?s).*/\\* id=n(\\d+)-.*", "$1"));
                lastMillis = Math.max(lastMillis, arrival.atMillis());
                lastByRouter[router] = Math.max(lastByRouter[router], arrival.atMillis());
                if (arrival.atMillis() > boundMillis) {
                    late++;
                    lateByRouter[router]++;
                }
            }
        }
        for (int i = 0; i < lateByRouter.length; i++) {
            if (lateByRouter[i] > 0) {
                routers.append(", n").append(i).append(": ").append(lateByRouter[i]).append(", the last at ")
                        .append(at(lastByRouter[i]));
            }
        }
        say("h" + host + " drains: bound " + at(boundMillis) + ", the last request came at "
                + (lastMillis == 0 ? "-" : at(lastMillis)) + ", after the bound: " + late + routers
                + (late > 0 ? "  <-- new work to a draining host" : ""));
        return late;
    }
}
