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
 * The keeper of cells, before the routers that it grants leases to. Real: its process with its records on disk, its
 * sockets. Hollow: the routers, a connection each; no tenant is moved.
 */
final class CoordinatorPart implements Part {
    private static final int TARGET = 4_100;
    private static final int LEASE_MILLIS = 2_000;
    /** As routers ask: three times a lease. */
    private static final int WAIT_MILLIS = LEASE_MILLIS / 3;

    private static final List<String> FLAGS =
            List.of("-XX:-UsePerfData", "-Xmx256m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    @Override
    public String of() {
        return "routers";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(10, 20, 30, 40, 60) : List.of(50, 100, 200, 400, 800);
    }

    @Override
    public long bytes(List<Integer> sizes) {
        return 600_000_000L + 400_000 * sizes.stream().mapToLong(n -> n).max().orElse(0);
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom chance, Path folder, Report report)
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
                try (ChildProcess keeper = ChildProcess.start(
                        folder,
                        "keeper" + count,
                        FLAGS,
                        "beaconladder.app.Main",
                        "cells",
                        "keep",
                        "--plan",
                        plan.toString())) {
                    keeper.listens(port);
                    try (PlacementPollers pollers = new PlacementPollers(port, count, WAIT_MILLIS)) {
                        pollers.await(3L * count);
                        Thread.sleep(small ? 0 : 3_000);
                        ProcessCounters before = keeper.counters();
                        long sent = pollers.bytes.get();
                        long calls = pollers.calls.get();
                        pollers.late().reset();
                        Thread.sleep(small ? 2_000 : 5_000);
                        ProcessCounters now = keeper.counters();
                        double seconds = (now.at() - before.at()) / 1e9;
                        bytes.add(new Point(count, (pollers.bytes.get() - sent) / seconds));
                        cores.add(new Point(count, 100 * now.cores(before)));
                        threads.add(new Point(count, now.threads()));
                        report.say(String.format(
                                Locale.ROOT,
                                "  %d routers: %.0f calls a second, answers"
                                        + " late by %d ms (half), %d ms (99%%), %d calls broken, %.0f MB",
                                count,
                                (pollers.calls.get() - calls) / seconds,
                                pollers.late().getValueAtPercentile(50),
                                pollers.late().getValueAtPercentile(99),
                                pollers.failed.get(),
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
