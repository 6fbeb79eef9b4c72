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

/** Grantors, relays, real and hollow routers of the feed's scenario, each process the program itself. */
final class FeedFleet implements AutoCloseable {
    private static final int GRANTORS = 3;
    /** Routers as they are, with a process and a disk of their own. */
    static final int REAL = 2;
    /** Nobody is there; a router wants to know of a host before it serves. */
    private static final String HOST = "{\"id\":\"h0\",\"addr\":\"127.0.0.1:9\",\"zone\":\"east\",\"cell\":0,"
            + "\"state\":\"Ready\",\"started_ms\":0,\"role\":\"leader\"}";

    private static final int READY_MILLIS = 30_000;
    /** Stacks of tasks are outside the heap; a thousand routers' states and buffers are within it. */
    private static final List<String> LARGE = List.of("-Xmx192m");

    final FeedLinks links;
    final List<InetSocketAddress> doors = new ArrayList<>();
    final List<Program> grantors = new ArrayList<>();
    final List<Program> relays = new ArrayList<>();
    final List<Program> hollow = new ArrayList<>();
    final List<Program> real = new ArrayList<>();
    private final List<InetSocketAddress> relayAddresses = new ArrayList<>();
    private final Path folder;
    private final int routers;
    private final ChildProcesses programs;
    private final DiscoveryStandIn discovery = new DiscoveryStandIn();
    private final long seed;
    private int ports;

    FeedFleet(Path folder, long seed, int relayCount, int routers) throws IOException, InterruptedException {
        this.folder = folder;
        this.seed = seed;
        this.routers = routers;
        programs = new ChildProcesses(folder);
        discovery.list(true, HOST);
        int[] raft = new int[GRANTORS];
        for (int i = 0; i < GRANTORS; i++) {
            raft[i] = port();
            doors.add(loopback(port()));
        }
        for (int j = 0; j < relayCount; j++) {
            relayAddresses.add(loopback(port()));
        }
        links = new FeedLinks(relayAddresses, doors, raft, REAL, seed);
        for (int i = 0; i < GRANTORS; i++) {
            grantors.add(grantor(i, raft));
        }
        for (int j = 0; j < relayCount; j++) {
            relays.add(programs.program(
                    "r" + j,
                    null,
                    LARGE,
                    "feed",
                    "relay",
                    "--plan",
                    plan("r" + j, raft, links.serversFrom(j)),
                    "--name",
                    "r" + j,
                    "--at",
                    text(relayAddresses.get(j)),
                    "--store",
                    folder.resolve("relay" + j).toString()));
        }
        for (int region = 0; region < FeedLinks.REGIONS; region++) {
            int from = first(region);
            if (first(region + 1) > from) {
                hollow.add(programs.program(
                        "hollow" + region,
                        null,
                        LARGE,
                        "lab",
                        "feed-routers",
                        "--prefix",
                        "n",
                        "--from",
                        "" + from,
                        "--count",
                        "" + (first(region + 1) - from),
                        "--relays",
                        named(links.relaysFrom(region)),
                        "--journal",
                        folder.resolve("hollow" + region + ".journal").toString()));
            }
        }
        for (int i = 0; i < REAL; i++) {
            real.add(programs.program(
                    "m" + i,
                    RouterFile.of("m" + i, port(), discovery, 256, 192, HOST),
                    "serve",
                    "--feed",
                    named(links.relaysFromReal(i)),
                    "--feed-store",
                    folder.resolve("fed" + i).toString(),
                    "--feed-journal",
                    folder.resolve("m" + i + ".journal").toString()));
        }
        // Also when the scenario itself is ended.
        Runtime.getRuntime().addShutdownHook(new Thread(programs::close));
        boolean started = false;
        try {
            for (List<Program> group : List.of(
                    grantors,
                    relays,
                    Stream.concat(hollow.stream(), real.stream()).toList())) {
                for (Program each : group) {
                    each.start();
                }
                ready(group == grantors, group == relays);
            }
            started = true;
        } finally {
            if (!started) {
                close();
            }
        }
    }

    /** Below those that the system hands out, and those of the scenario of leases, so that all stay free. */
    private int port() {
        return 10_000 + (int) Math.floorMod(seed, 100L) * 100 + ports++;
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    private static String named(List<InetSocketAddress> relays) {
        return IntStream.range(0, relays.size())
                .mapToObj(j -> "r" + j + "=" + text(relays.get(j)))
                .collect(Collectors.joining(","));
    }

    private Program grantor(int i, int[] raft) throws IOException {
        StringBuilder names = new StringBuilder(
                "127.0.0.1 localhost\n127.0.0.1 " + InetAddress.getLocalHost().getHostName() + "\n");
        for (int j = 0; j < GRANTORS; j++) {
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
                plan("k" + i, raft, doors),
                "--name",
                "k" + i);
    }

    private String plan(String name, int[] raft, List<InetSocketAddress> at) throws IOException {
        StringBuilder text = new StringBuilder("(leases (length 1500ms) (clock 60ms) (disk 16MB))\n");
        for (int j = 0; j < GRANTORS; j++) {
            text.append("(grantor k")
                    .append(j)
                    .append(" (raft k")
                    .append(j)
                    .append(':')
                    .append(raft[j])
                    .append(") (at ")
                    .append(text(at.get(j)))
                    .append(") (store \"")
                    .append(folder.resolve("log" + j))
                    .append("\"))\n");
        }
        Path file = folder.resolve(name + ".plan");
        Files.writeString(file, text);
        return file.toString();
    }

    /** The first hollow router of a region. */
    private int first(int region) {
        return (int) ((long) routers * region / FeedLinks.REGIONS);
    }

    boolean inFirst(String router) {
        return router.startsWith("n") && Integer.parseInt(router.substring(1)) < first(1);
    }

    /** All routers that are to have each version. */
    List<String> names() {
        return Stream.concat(
                        IntStream.range(0, routers).mapToObj(i -> "n" + i),
                        IntStream.range(0, REAL).mapToObj(i -> "m" + i))
                .toList();
    }

    /** Waits until the grantors have a leader, relays hear from it, or all routers have a relay. */
    private void ready(boolean grantor, boolean relay) throws IOException, InterruptedException {
        long until = System.nanoTime() + READY_MILLIS * 1_000_000L;
        while (grantor
                ? !led()
                : relay
                        ? statuses().stream()
                                        .filter(each -> each.lagMillis() < 1_000)
                                        .count()
                                < relays.size()
                        : connections() < routers + REAL) {
            if (System.nanoTime() > until) {
                throw new IOException("not all are ready: " + statuses());
            }
            Thread.sleep(50);
        }
    }

    private boolean led() {
        return doors.stream().anyMatch(door -> get(door, "/v1/feed?since=0&wait=0") != null);
    }

    private int connections() {
        return statuses().stream().mapToInt(Relay.Status::connections).sum() - relays.size();
    }

    /** What each relay that answers says of itself; past all fault relays. */
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

    /** Which grantor leads, as one of them knows. */
    int leader() {
        for (InetSocketAddress door : doors) {
            String text = get(door, "/v1/leader");
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

    /** The lines of all journals. */
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
