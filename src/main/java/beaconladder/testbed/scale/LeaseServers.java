package beaconladder.testbed.scale;

import beaconladder.discovery.HttpFetcher;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Three real grantors, a process each, on one machine and one disk. */
final class LeaseServers implements AutoCloseable {
    static final long LENGTH_MILLIS = 5_000;
    static final long BOUND_MILLIS = 100;
    private static final int COUNT = 3;
    private static final int READY_MILLIS = 30_000;
    /** With thousands of askers a door takes its time. */
    private static final int PATIENCE_MILLIS = 5_000;
    /** With the 64 MB of the scenario of leases the heap ends below 4,100 askers: a thread for each call. */
    private static final List<String> FLAGS =
            List.of("-XX:-UsePerfData", "-Xmx512m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private final List<ChildProcess> children = new ArrayList<>();
    private final List<InetSocketAddress> doors = new ArrayList<>();

    LeaseServers(Path folder) throws IOException, InterruptedException {
        StringBuilder text = new StringBuilder(
                "(leases (length " + LENGTH_MILLIS + "ms) (clock " + BOUND_MILLIS + "ms) (disk 64MB))\n");
        for (int i = 0; i < COUNT; i++) {
            doors.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), ChildProcess.freePort()));
            text.append("(grantor k")
                    .append(i)
                    .append(" (raft 127.0.0.1:")
                    .append(ChildProcess.freePort())
                    .append(") (at 127.0.0.1:")
                    .append(doors.get(i).getPort())
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
                    FLAGS,
                    "beaconladder.app.Main",
                    "lease",
                    "grant",
                    "--plan",
                    plan.toString(),
                    "--name",
                    "k" + i));
        }
        for (int i = 0; i < COUNT; i++) {
            children.get(i).listens(doors.get(i).getPort());
        }
        if (awaitLeader() < 0) {
            throw new IOException(
                    "three grantors agree on no leader: " + children.get(0).log());
        }
    }

    /** Which of them leads, once most say so, or -1 where they don't for long. */
    int awaitLeader() throws InterruptedException {
        long until = System.nanoTime() + READY_MILLIS * 1_000_000L;
        int leader = leader();
        while (leader < 0 && System.nanoTime() < until) {
            Thread.sleep(100);
            leader = leader();
        }
        return leader;
    }

    List<InetSocketAddress> doors() {
        return doors;
    }

    ChildProcess child(int grantor) {
        return children.get(grantor);
    }

    /** Which of them leads, as most of those that are there say, or -1. */
    private int leader() {
        int[] votes = new int[COUNT];
        for (int i = 0; i < COUNT; i++) {
            HttpFetcher get = new HttpFetcher(doors.get(i));
            try {
                String name = get.get("/v1/leader", PATIENCE_MILLIS).replaceAll(".*\"leader\":\"k?(\\d*)\".*", "$1");
                if (!name.isEmpty()) {
                    votes[Integer.parseInt(name)]++;
                }
            } catch (IOException e) {
                // It is not there.
            } finally {
                get.close();
            }
        }
        for (int i = 0; i < COUNT; i++) {
            if (votes[i] >= 2 && children.get(i) != null) {
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
