package beaconladder.testbed.scale;

import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.scale.Slope.Point;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Measures a real router under load with N listed hosts in groups of three, its transactions spread evenly over all
 * groups: resource use, and the number of connections to hosts. Three stand-ins serve all hosts, one for each member of
 * a group.
 */
final class HostsUnderLoad {
    private static final List<Integer> SIZES = List.of(60, 300, 600, 1_200, 2_400, 5_800);
    private static final int TARGET_HOSTS = 5_800;
    private static final int TXNS_PER_SECOND = 902;
    private static final int CLIENTS = 64;

    private HostsUnderLoad() {}

    static void measure(List<HostStandIn> hosts, SplittableRandom random, Path folder, Report report)
            throws IOException, InterruptedException {
        List<Point> cores = new ArrayList<>();
        List<Point> resident = new ArrayList<>();
        List<Point> descriptors = new ArrayList<>();
        for (int size : SIZES) {
            int port = ChildProcess.freePort();
            try (DiscoveryStandIn list = new DiscoveryStandIn(
                            size,
                            i -> hosts.get(i % DiscoveryStandIn.GROUP_SIZE).port());
                    ChildProcess router = ClientsPart.startRouter(list, folder, port, "w" + size);
                    RouterClients clients = new RouterClients(port, CLIENTS)) {
                clients.groups(size / DiscoveryStandIn.GROUP_SIZE);
                clients.runAtRate(TXNS_PER_SECOND, 4, random.split());
                clients.times().reset();
                long failed = clients.failed();
                ProcessCounters before = router.counters();
                double served = clients.runAtRate(TXNS_PER_SECOND, 5, random.split());
                ProcessCounters now = router.counters();
                cores.add(new Point(size, 100 * now.coresSince(before)));
                resident.add(new Point(size, now.residentKb() / 1024.0));
                descriptors.add(new Point(size, now.descriptors()));
                report.print(String.format(
                        java.util.Locale.ROOT,
                        "  %d hosts under load: %.0f served per second, %d" + " failed, %d descriptors, %d threads",
                        size,
                        served,
                        clients.failed() - failed,
                        now.descriptors(),
                        now.threads()));
                report.times("clients.hosts_answer_us_" + size, clients.times());
            }
        }
        report.slope(
                "clients.hosts_cpu_percent",
                "% of a core at 902 txns a second",
                "hosts",
                TARGET_HOSTS,
                2 * Report.TIMED,
                cores);
        report.slope(
                "clients.hosts_resident_mb", "MB at 902 txns a second", "hosts", TARGET_HOSTS, Report.TIMED, resident);
        for (Point point : descriptors) {
            report.figure("clients.hosts_descriptors_" + (int) point.size(), point.value());
        }
    }
}
