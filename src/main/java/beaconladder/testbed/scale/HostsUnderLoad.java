package beaconladder.testbed.scale;

import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.scale.Slope.Point;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A real router at work before N listed hosts, in groups of three, its txns spread evenly over all groups: what it
 * uses, and how many connections to hosts it holds. Three stand-ins play all hosts, by role.
 */
final class HostsUnderLoad {
    private static final List<Integer> SIZES = List.of(60, 300, 600, 1_200, 2_400, 5_800);
    private static final int TARGET = 5_800;
    private static final int TXNS = 902;
    private static final int CLIENTS = 64;

    private HostsUnderLoad() {}

    static void measure(List<HostStandIn> hosts, SplittableRandom chance, Path folder, Report report)
            throws IOException, InterruptedException {
        List<Point> cores = new ArrayList<>();
        List<Point> resident = new ArrayList<>();
        List<Point> descriptors = new ArrayList<>();
        for (int size : SIZES) {
            int port = ChildProcess.freePort();
            try (DiscoveryStandIn list = new DiscoveryStandIn(
                            size, i -> hosts.get(i % DiscoveryStandIn.MEMBERS).port());
                    ChildProcess router = ClientsPart.router(list, folder, port, "w" + size);
                    RouterClients callers = new RouterClients(port, CLIENTS)) {
                callers.groups(size / DiscoveryStandIn.MEMBERS);
                callers.work(TXNS, 4, chance.split());
                callers.times().reset();
                long failed = callers.failed();
                ProcessCounters before = router.counters();
                double served = callers.work(TXNS, 5, chance.split());
                ProcessCounters now = router.counters();
                cores.add(new Point(size, 100 * now.cores(before)));
                resident.add(new Point(size, now.residentKb() / 1024.0));
                descriptors.add(new Point(size, now.descriptors()));
                report.say(String.format(
                        java.util.Locale.ROOT,
                        "  %d hosts at work: %.0f served a second, %d" + " not, %d descriptors, %d threads",
                        size,
                        served,
                        callers.failed() - failed,
                        now.descriptors(),
                        now.threads()));
                report.times("clients.hosts_answer_us_" + size, callers.times());
            }
        }
        report.slope(
                "clients.hosts_cpu_percent",
                "% of a core at 902 txns a second",
                "hosts",
                TARGET,
                2 * Report.TIMED,
                cores);
        report.slope("clients.hosts_resident_mb", "MB at 902 txns a second", "hosts", TARGET, Report.TIMED, resident);
        for (Point point : descriptors) {
            report.figure("clients.hosts_descriptors_" + (int) point.size(), point.value());
        }
    }
}
