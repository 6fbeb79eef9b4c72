package beaconladder.testbed.scale;

import beaconladder.testbed.scale.Slope.Point;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Measures the coordinator of cells with the routers that it grants leases to. Real: its process with its records on
 * disk, and its sockets. Simulated: the routers, a connection each; no tenant is migrated.
 */
final class CoordinatorPart implements Part {
    private static final int TARGET = 4_100;
    private static final int LEASE_MILLIS = 2_000;
    /** Routers ask three times per lease. */
    private static final int WAIT_MILLIS = LEASE_MILLIS / 3;

    private static final List<String> JVM_FLAGS =
            List.of("-XX:-UsePerfData", "-Xmx256m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    @Override
    public String sizeUnit() {
        return "routers";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(10, 20, 30, 40, 60) : List.of(50, 100, 200, 400, 800);
    }

    @Override
    public long estimatedMemoryBytes(List<Integer> sizes) {
        return 600_000_000L + 400_000 * sizes.stream().mapToLong(n -> n).max().orElse(0);
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom random, Path folder, Report report)
            throws IOException, InterruptedException {
        List<Point> bytes = new ArrayList<>();
        List<Point> cores = new ArrayList<>();
        List<Point> threads = new ArrayList<>();
        try (SharedHostStandIn host = new SharedHostStandIn();
                DiscoveryStandIn list = new DiscoveryStandIn(6, host.port())) {
            for (int count : sizes) {
                int port = ChildProcess.freePort();
                Path plan = folder.resolve("keeper" + count + ".plan");
                Files.writeString(
                        plan,
                        "(cell a (groups 0) (share 50%)) (cell b (groups 1) (share 50%))\n"
                                + "(tenant acme (cell a)) (tenant beta (cell b))\n(keeper (at 127.0.0.1:" + port
                                + ") (discovery 127.0.0.1:" + list.port() + ") (store \""
                                + folder.resolve("records" + count) + "\") (lease " + LEASE_MILLIS
                                + "ms) (expiry 3s) (copy 10min) (fence 10s))\n");
                try (ChildProcess coordinator = ChildProcess.start(
                        folder,
                        "keeper" + count,
                        JVM_FLAGS,
                        "beaconladder.app.Main",
                        "cells",
                        "keep",
                        "--plan",
                        plan.toString())) {
                    coordinator.awaitListening(port);
                    try (PlacementPollers routers = new PlacementPollers(port, count, WAIT_MILLIS)) {
                        routers.await(3L * count);
                        Thread.sleep(small ? 0 : 3_000);
                        ProcessCounters before = coordinator.counters();
                        long sent = routers.bytes.get();
                        long calls = routers.calls.get();
                        routers.latenessMillis().reset();
                        Thread.sleep(small ? 2_000 : 5_000);
                        ProcessCounters now = coordinator.counters();
                        double seconds = (now.readAtNanos() - before.readAtNanos()) / 1e9;
                        bytes.add(new Point(count, (routers.bytes.get() - sent) / seconds));
                        cores.add(new Point(count, 100 * now.coresSince(before)));
                        threads.add(new Point(count, now.threads()));
                        report.print(String.format(
                                Locale.ROOT,
                                "  %d routers: %.0f requests per second, responses"
                                        + " late by %d ms (half), %d ms (99%%), %d connections failed, %.0f MB",
                                count,
                                (routers.calls.get() - calls) / seconds,
                                routers.latenessMillis().getValueAtPercentile(50),
                                routers.latenessMillis().getValueAtPercentile(99),
                                routers.failed.get(),
                                now.residentKb() / 1024.0));
                    }
                }
            }
        }
        report.slope("keeper.threads", "threads", "routers", TARGET, 2 * Report.COUNTED, threads);
        if (!small) {
            report.slope("keeper.bytes_s", "B/s at the keeper", "routers", TARGET, 2 * Report.COUNTED, bytes);
            report.slope("keeper.cpu_percent", "% of a core", "routers", TARGET, 2 * Report.TIMED, cores);
        }
    }
}
