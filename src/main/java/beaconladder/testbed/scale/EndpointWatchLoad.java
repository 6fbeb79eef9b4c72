package beaconladder.testbed.scale;

import beaconladder.testbed.scale.Slope.Point;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures many real endpoint watches in one process that share one list: the load on the discovery agent, and what a
 * watch costs with no router behind it.
 */
final class EndpointWatchLoad {
    private static final List<Integer> WATCH_COUNTS = List.of(25, 50, 100, 200, 400);
    private static final int HOSTS = 600;
    private static final int ROUTERS = 4_100;
    private static final List<String> FLAGS = List.of(
            "-Xmx512m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Dorg.slf4j.simpleLogger.defaultLogLevel=error");

    private EndpointWatchLoad() {}

    static void measure(Path folder, Report report) throws IOException, InterruptedException {
        List<Point> bytes = new ArrayList<>();
        List<Point> cores = new ArrayList<>();
        try (SharedHostStandIn host = new SharedHostStandIn()) {
            for (int count : WATCH_COUNTS) {
                try (DiscoveryStandIn list = new DiscoveryStandIn(HOSTS, host.port());
                        ChildProcess child = ChildProcess.start(
                                folder,
                                "watches" + count,
                                FLAGS,
                                EndpointWatchProcess.class.getName(),
                                String.valueOf(list.port()),
                                String.valueOf(count))) {
                    Thread.sleep(4_000);
                    ProcessCounters before = child.counters();
                    long sent = list.bytes.get();
                    Thread.sleep(8_000);
                    ProcessCounters now = child.counters();
                    double seconds = (now.readAtNanos() - before.readAtNanos()) / 1e9;
                    bytes.add(new Point(count, (list.bytes.get() - sent) / seconds));
                    cores.add(new Point(count, 100 * now.coresSince(before)));
                }
            }
        }
        report.slope("list.hollow_bytes_s", "B/s, 600 hosts", "watches", ROUTERS, 0.2, bytes);
        report.slope("list.hollow_cpu_percent", "% of a core, 600 hosts", "watches", ROUTERS, 2 * Report.TIMED, cores);
    }
}
