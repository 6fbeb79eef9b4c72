package beaconladder.testbed.scale;

import beaconladder.discovery.HttpFetcher;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts three real lease servers, a process each, on one machine and one disk. */
final class LeaseServers implements AutoCloseable {
    static final long LEASE_MILLIS = 5_000;
    static final long CLOCK_BOUND_MILLIS = 100;
    private static final int COUNT = 3;
    private static final int READY_MILLIS = 30_000;
    /** Lease servers respond slowly with thousands of clients. */
    private static final int HTTP_TIMEOUT_MILLIS = 5_000;
    /** With the 64 MB of the lease scenario the heap is exhausted below 4,100 clients: each call has a thread. */
    private static final List<String> JVM_FLAGS =
            List.of("-XX:-UsePerfData", "-Xmx512m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private final List<ChildProcess> children = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    LeaseServers(Path folder) throws IOException, InterruptedException {
        StringBuilder text = new StringBuilder(
                "(leases (length " + LEASE_MILLIS + "ms) (clock " + CLOCK_BOUND_MILLIS + "ms) (disk 64MB))\n");
        for (int i = 0; i < COUNT; i++) {
            addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), ChildProcess.freePort()));
            text.append("(grantor k")
                    .append(i)
                    .append(" (raft 127.0.0.1:")
                    .append(ChildProcess.freePort())
                    .append(") (at 127.0.0.1:")
                    .append(addresses.get(i).getPort())
                    .append(") (store \"")
                    .append(folder.resolve("log" + i))
                    .append("\"))\n");
        }
        Path plan = folder.resolve("leases.plan");
        Files.writeString(plan, text);
        for (int i = 0; i < COUNT; i++) {
            children.add(ChildProcess.start(
                    folder,
                    "k" + i,
                    JVM_FLAGS,
                    "beaconladder.app.Main",
                    "lease",
                    "grant",
                    "--plan",
                    plan.toString(),
                    "--name",
                    "k" + i));
        }
        for (int i = 0; i < COUNT; i++) {
            children.get(i).awaitListening(addresses.get(i).getPort());
        }
        if (awaitLeader() < 0) {
            throw new IOException(
                    "the three lease servers have no leader: " + children.get(0).log());
        }
    }

    /** Waits for a leader and returns its index once a majority agrees on it, or -1 after a timeout. */
    int awaitLeader() throws InterruptedException {
        long deadline = System.nanoTime() + READY_MILLIS * 1_000_000L;
        int leader = leader();
        while (leader < 0 && System.nanoTime() < deadline) {
            Thread.sleep(100);
            leader = leader();
        }
        return leader;
    }

    List<InetSocketAddress> addresses() {
        return addresses;
    }

    ChildProcess child(int server) {
        return children.get(server);
    }

    /** Returns the index of the leader that a majority names, or -1. */
    private int leader() {
        int[] namedBy = new int[COUNT];
        for (int i = 0; i < COUNT; i++) {
            HttpFetcher http = new HttpFetcher(addresses.get(i));
            try {
                String name =
                        http.get("/v1/leader", HTTP_TIMEOUT_MILLIS).replaceAll(".*\"leader\":\"k?(\\d*)\".*", "$1");
                if (!name.isEmpty()) {
                    namedBy[Integer.parseInt(name)]++;
                }
            } catch (IOException e) {
                // The lease server is not reachable.
            } finally {
                http.close();
            }
        }
        for (int i = 0; i < COUNT; i++) {
            if (namedBy[i] >= 2 && children.get(i) != null) {
                return i;
            }
        }
        return -1;
    }

    @Override
    public void close() {
        children.forEach(ChildProcess::close);
    }
}
