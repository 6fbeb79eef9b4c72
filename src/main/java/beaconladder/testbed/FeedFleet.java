package beaconladder.testbed;

import beaconladder.discovery.HttpFetcher;
import beaconladder.feed.FeedJson;
import beaconladder.feed.Relay;
import beaconladder.testbed.ChildProcesses.Program;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Lease servers, relays, real and simulated routers of the feed's scenario, as processes of the program. */
final class FeedFleet implements AutoCloseable {
    private static final int LEASE_SERVERS = 3;
    /** Number of real routers, each with a process and a store of its own. */
    static final int REAL = 2;
    /** An address without a host; a router needs one in its endpoint list before it serves. */
    private static final String HOST = "{\"id\":\"h0\",\"addr\":\"127.0.0.1:9\",\"zone\":\"east\",\"cell\":0,"
            + "\"state\":\"Ready\",\"started_ms\":0,\"role\":\"leader\"}";

    private static final int START_TIMEOUT_MILLIS = 30_000;
    /** The heap holds the states and buffers of a thousand routers; thread stacks are outside of it. */
    private static final List<String> HEAP_OPTIONS = List.of("-Xmx192m");

    final FeedLinks links;
    final List<InetSocketAddress> serverAddresses = new ArrayList<>();
    final List<Program> leaseServers = new ArrayList<>();
    final List<Program> relays = new ArrayList<>();
    final List<Program> simulated = new ArrayList<>();
    final List<Program> real = new ArrayList<>();
    private final List<InetSocketAddress> relayAddresses = new ArrayList<>();
    private final Path folder;
    private final int routers;
    private final ChildProcesses programs;
    private final DiscoveryStandIn discovery = new DiscoveryStandIn();
    private final long seed;
    private int allocatedPorts;

    FeedFleet(Path folder, long seed, int relayCount, int routers) throws IOException, InterruptedException {
        this.folder = folder;
        this.seed = seed;
        this.routers = routers;
        programs = new ChildProcesses(folder);
        discovery.list(true, HOST);
        int[] raftPorts = new int[LEASE_SERVERS];
        for (int i = 0; i < LEASE_SERVERS; i++) {
            raftPorts[i] = allocatePort();
            serverAddresses.add(loopback(allocatePort()));
        }
        for (int j = 0; j < relayCount; j++) {
            relayAddresses.add(loopback(allocatePort()));
        }
        links = new FeedLinks(relayAddresses, serverAddresses, raftPorts, REAL, seed);
        for (int i = 0; i < LEASE_SERVERS; i++) {
            leaseServers.add(leaseServer(i, raftPorts));
        }
        for (int j = 0; j < relayCount; j++) {
            relays.add(programs.program(
                    "r" + j,
                    null,
                    HEAP_OPTIONS,
                    "feed",
                    "relay",
                    "--plan",
                    writePlan("r" + j, raftPorts, links.serversFrom(j)),
                    "--name",
                    "r" + j,
                    "--at",
                    text(relayAddresses.get(j)),
                    "--store",
                    folder.resolve("relay" + j).toString()));
        }
        for (int region = 0; region < FeedLinks.REGIONS; region++) {
            int from = firstRouter(region);
            if (firstRouter(region + 1) > from) {
                simulated.add(programs.program(
                        "hollow" + region,
                        null,
                        HEAP_OPTIONS,
                        "lab",
                        "feed-routers",
                        "--prefix",
                        "n",
                        "--from",
                        "" + from,
                        "--count",
                        "" + (firstRouter(region + 1) - from),
                        "--relays",
                        relayList(links.relaysFrom(region)),
                        "--journal",
                        folder.resolve("hollow" + region + ".journal").toString()));
            }
        }
        for (int i = 0; i < REAL; i++) {
            real.add(programs.program(
                    "m" + i,
                    RouterFile.of("m" + i, allocatePort(), discovery, 256, 192, HOST),
                    "serve",
                    "--feed",
                    relayList(links.relaysFromReal(i)),
                    "--feed-store",
                    folder.resolve("fed" + i).toString(),
                    "--feed-journal",
                    folder.resolve("m" + i + ".journal").toString()));
        }
        // Also ends the processes when the scenario itself is terminated.
        Runtime.getRuntime().addShutdownHook(new Thread(programs::close));
        boolean started = false;
        try {
            for (List<Program> group : List.of(
                    leaseServers,
                    relays,
                    Stream.concat(simulated.stream(), real.stream()).toList())) {
                for (Program each : group) {
                    each.start();
                }
                awaitReady(group == leaseServers, group == relays);
            }
            started = true;
        } finally {
            if (!started) {
                close();
            }
        }
    }

    /** Returns a port below the ephemeral range and the ports of the lease scenario, so that it stays free. */
    private int allocatePort() {
        return 10_000 + (int) Math.floorMod(seed, 100L) * 100 + allocatedPorts++;
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    private static String relayList(List<InetSocketAddress> relays) {
        return IntStream.range(0, relays.size())
                .mapToObj(j -> "r" + j + "=" + text(relays.get(j)))
                .collect(Collectors.joining(","));
    }

    private Program leaseServer(int i, int[] raftPorts) throws IOException {
        StringBuilder names = new StringBuilder(
                "127.0.0.1 localhost\n127.0.0.1 " + InetAddress.getLocalHost().getHostName() + "\n");
        for (int j = 0; j < LEASE_SERVERS; j++) {
            names.append(FeedLinks.raftHost(seed, i, j)).append(" k").append(j).append('\n');
        }
        Path hosts = folder.resolve("hosts" + i);
        Files.writeString(hosts, names);
        return programs.program(
                "k" + i,
                null,
                List.of("-Djdk.net.hosts.file=" + hosts, "-Xmx128m"),
                "lease",
                "grant",
                "--plan",
                writePlan("k" + i, raftPorts, serverAddresses),
                "--name",
                "k" + i);
    }

    private String writePlan(String name, int[] raftPorts, List<InetSocketAddress> addresses) throws IOException {
        StringBuilder text = new StringBuilder("(leases (length 1500ms) (clock 60ms) (disk 16MB))\n");
        for (int j = 0; j < LEASE_SERVERS; j++) {
            text.append("(grantor k")
                    .append(j)
                    .append(" (raft k")
                    .append(j)
                    .append(':')
                    .append(raftPorts[j])
                    .append(") (at ")
                    .append(text(addresses.get(j)))
                    .append(") (store \"")
                    .append(folder.resolve("log" + j))
                    .append("\"))\n");
        }
        Path file = folder.resolve(name + ".plan");
        Files.writeString(file, text);
        return file.toString();
    }

    /** Returns the number of the first simulated router of a region. */
    private int firstRouter(int region) {
        return (int) ((long) routers * region / FeedLinks.REGIONS);
    }

    boolean inFirstRegion(String router) {
        return router.startsWith("n") && Integer.parseInt(router.substring(1)) < firstRouter(1);
    }

    /** Returns the names of all routers, each of which has to apply each version. */
    List<String> routerNames() {
        return Stream.concat(
                        IntStream.range(0, routers).mapToObj(i -> "n" + i),
                        IntStream.range(0, REAL).mapToObj(i -> "m" + i))
                .toList();
    }

    /** Waits until the lease servers have a leader, the relays reach it, or all routers have a relay. */
    private void awaitReady(boolean awaitLeader, boolean awaitRelays) throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000L;
        while (awaitLeader
                ? !hasLeader()
                : awaitRelays
                        ? statuses().stream()
                                        .filter(each -> each.lagMillis() < 1_000)
                                        .count()
                                < relays.size()
                        : connections() < routers + REAL) {
            if (System.nanoTime() > untilNanos) {
                throw new IOException("not all are ready: " + statuses());
            }
            Thread.sleep(50);
        }
    }

    private boolean hasLeader() {
        return serverAddresses.stream().anyMatch(address -> get(address, "/v1/feed?since=0&wait=0") != null);
    }

    private int connections() {
        return statuses().stream().mapToInt(Relay.Status::connections).sum() - relays.size();
    }

    /** Returns the status of each relay that responds, bypassing all fault relays. */
    List<Relay.Status> statuses() {
        List<Relay.Status> all = new ArrayList<>();
        for (InetSocketAddress at : relayAddresses) {
            String text = get(at, "/v1/relay");
            try {
                if (text != null) {
                    all.add(FeedJson.read(text, Relay.Status.class));
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
        return all;
    }

    /** Returns the number of the leading lease server as one of them reports it; 0 if unknown. */
    int leader() {
        for (InetSocketAddress address : serverAddresses) {
            String text = get(address, "/v1/leader");
            if (text != null && text.matches(".*\"k[0-9]\"}")) {
                return text.charAt(text.length() - 3) - '0';
            }
        }
        return 0;
    }

    private static String get(InetSocketAddress at, String path) {
        HttpFetcher http = new HttpFetcher(at);
        try {
            return http.get(path, 1_000);
        } catch (IOException e) {
            return null;
        } finally {
            http.close();
        }
    }

    /** Returns the lines of all journals. */
    List<String> journal() throws IOException {
        List<String> lines = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file :
                    files.filter(each -> each.toString().endsWith(".journal")).toList()) {
                lines.addAll(Files.readAllLines(file));
            }
        }
        return lines;
    }

    @Override
    public void close() throws IOException {
        programs.close();
        links.close();
        discovery.close();
    }
}
