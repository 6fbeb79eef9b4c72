package beaconladder.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

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
    /** When the client sent a request, by its id: no attempt of it began earlier. */
    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();

    private final Site site;
    private final int routers;
    private final List<Integer> discoveryPorts = new ArrayList<>();
    private volatile boolean clientsEnd;

    /**
     * The figures of a site file that the routers are told.
     *
     * @param discovery "push" or "ask"
     * @param reports "inline" or "on_probe"
     */
    record Site(
            String discovery,
            String reports,
            int connectMillis,
            int idleMillis,
            int fallMillis,
            int readAimMillis,
            int readDeadlineMillis,
            int writeAimMillis,
            int writeDeadlineMillis) {}

    DrainCase(Site site, int routers) {
        this.site = site;
        this.routers = routers;
        try {
            discovery = new DiscoveryStandIn();
            discovery.waitMillis = 20_000;
            for (int i = 0; i <= REPLICAS; i++) {
                hosts.add(new MemberHost(i == 0));
                hosts.get(i).delayMillis = WORK_MILLIS;
                hosts.get(i).reportsInline = site.reports().equals("inline");
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

    /** Adds a router with the limits of its site. */
    void addRouter(int discoveryPort) throws IOException {
        ports.add(freePort());
        discoveryPorts.add(discoveryPort);
        configs.add(folder.resolve("n" + configs.size() + ".json"));
        writeConfig(configs.size() - 1);
    }

    /** Writes a router's config for a start: `known` as it last held the list, the seed new with each start. */
    void writeConfig(int router) throws IOException {
        Files.writeString(
                configs.get(router),
                """
                {"name":"n%d","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"version":0,"full":true,"servers":[%s]},
                 "settings":{"discovery":"%s","family_info":{"freshness":["loose","update"],"session_marks":"client"},
                  "limits":{"probes":true,"cancel":true,"second_copies":true,"max_attempts":6,
                   "dial_timeout_us":%d,"conn_idle_us":%d},
                  "rules":{"drain_grace_us":%d,"fall_multiple":2,"fall_us":%d},
                  "load_report":{"fields":["x0","x1","rif"],"how":"%s"},"fees":{"probe":0.01},
                  "round_us":5000,"replicas_of_me":%d,"zones":["east"],"parties":[{"name":"acme"}],
                  "request_classes":[
                   {"name":"any-read","effect":"pure","goal_time_us":%d,"give_up_us":%d,"points":2,"late_share":0},
                   {"name":"write","effect":"side_effect","goal_time_us":%d,"give_up_us":%d,"points":4,
                    "late_share":0.5}]}}"""
                        .formatted(
                                router,
                                ports.get(router),
                                discoveryPorts.get(router),
                                System.nanoTime(),
                                String.join(",", entries()),
                                site.discovery(),
                                site.connectMillis() * 1_000,
                                site.idleMillis() * 1_000,
                                GRACE_MILLIS * 1_000,
                                site.fallMillis() * 1_000,
                                site.reports(),
                                routers,
                                site.readAimMillis() * 1_000,
                                site.readDeadlineMillis() * 1_000,
                                site.writeAimMillis() * 1_000,
                                site.writeDeadlineMillis() * 1_000));
    }

    /** Starts the clients of each router, which read all the time, on a new connection where one ends. */
    void startClients() {
        for (int client = 0; client < CLIENTS * ports.size(); client++) {
            int number = client % ports.size();
            String prefix = "n" + number + "-" + client + "-";
            StandInThreads.spawn(() -> {
                for (int i = 0; !clientsEnd; ) {
                    try (Client line = new Client(ports.get(number))) {
                        while (!clientsEnd) {
                            String id = prefix + i++;
                            sentMillis.put(id, System.currentTimeMillis());
                            line.ask("SELECT doc FROM items WHERE id = 'k" + i % 50 + "' /* id=" + id
                                    + ",c=any-read,t=acme,d=" + site.readDeadlineMillis() + ",cluster=1 */");
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

    /**
     * Reports what a draining host still got; returns how many of its requests were sent by their clients after the bound.
     * So each of these attempts began after the bound, however late the host noted it.
     */
    int report(int host, long drainMillis, long boundMillis) {
        int late = 0;
        long lastMillis = 0;
        StringBuilder lateRouters = new StringBuilder();
        int[] lateByRouter = new int[ports.size()];
        long[] lastByRouter = new long[ports.size()];
        for (MemberHost.Arrival arrival : hosts.get(host).arrivals()) {
            if (arrival.atMillis() > drainMillis) {
                int router = Integer.parseInt(arrival.text().replaceAll("(?s).*/\\* id=n(\\d+)-.*", "$1"));
                lastMillis = Math.max(lastMillis, arrival.atMillis());
                lastByRouter[router] = Math.max(lastByRouter[router], arrival.atMillis());
                if (sentMillis.get(arrival.text().replaceAll("(?s).*/\\* id=([^,]*),.*", "$1")) > boundMillis) {
                    late++;
                    lateByRouter[router]++;
                }
            }
        }
        for (int i = 0; i < lateByRouter.length; i++) {
            if (lateByRouter[i] > 0) {
                lateRouters.append(", n").append(i).append(": ").append(lateByRouter[i]).append(", the last at ")
                        .append(at(lastByRouter[i]));
            }
        }
        say("h" + host + " drains: bound " + at(boundMillis) + ", the last request came at "
                + (lastMillis == 0 ? "-" : at(lastMillis)) + ", asked and sent after the bound: " + late + lateRouters
                + (late > 0 ? "  <-- new work to a draining host" : ""));
        return late;
    }
}
