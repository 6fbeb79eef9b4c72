package beaconladder.testbed.scale;

import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.scale.Slope.Point;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Measures clients. Real: a router process with the flags of `run`, its sockets, and its connections to clients and
 * hosts. Simulated: three stand-in hosts of one group that answer at once, and clients that are a socket each.
 */
final class ClientsPart implements Part {
    private static final int TARGET_CONNECTIONS = 4_390;
    private static final int TARGET_TXNS_PER_SECOND = 902;
    /**
     * The socket limit of the router. Idle clients beyond an eighth of the descriptors are disconnected after some
     * seconds.
     */
    private static final int SOCKET_LIMIT = 18_000;

    private static final List<Integer> TXNS_PER_SECOND = List.of(50, 100, 200, 400, 800);
    private static final int ACTIVE_CLIENTS = 200;

    @Override
    public String sizeUnit() {
        return "connections";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(20, 40, 80, 160, 240) : List.of(100, 250, 500, 1_000, 2_000);
    }

    @Override
    public long estimatedMemoryBytes(List<Integer> sizes) {
        long largest = sizes.stream().mapToLong(n -> n).max().orElse(0);
        // Both ends of each connection are on this machine, and each active connection has a thread.
        return 400_000_000L + 350_000 * largest;
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom random, Path folder, Report report)
            throws IOException, InterruptedException {
        List<HostStandIn> hosts = new ArrayList<>();
        for (String role : List.of("leader", "follower", "follower")) {
            hosts.add(new HostStandIn(role) {
                @Override
                protected void saw(String text) {
                    // Discards the text: keeping it would use more memory than the router that is measured.
                }
            });
        }
        try (DiscoveryStandIn list =
                new DiscoveryStandIn(hosts.size(), i -> hosts.get(i).port())) {
            measureConnections(sizes, small, list, folder, report);
            if (!small) {
                measureTransactions(list, random, folder, report);
                HostsUnderLoad.measure(hosts, random, folder, report);
            }
        } finally {
            for (HostStandIn host : hosts) {
                host.close();
            }
        }
    }

    static ChildProcess startRouter(DiscoveryStandIn list, Path folder, int port, String name)
            throws IOException, InterruptedException {
        ChildProcess router = ChildProcess.router(folder, name, RouterConfig.of(name, port, list.port(), SOCKET_LIMIT));
        router.awaitListening(port);
        return router;
    }

    private static void measureConnections(
            List<Integer> sizes, boolean small, DiscoveryStandIn list, Path folder, Report report)
            throws IOException, InterruptedException {
        List<Point> descriptors = new ArrayList<>();
        List<Point> resident = new ArrayList<>();
        List<Point> idle = new ArrayList<>();
        for (int count : sizes) {
            int port = ChildProcess.freePort();
            try (ChildProcess router = startRouter(list, folder, port, "c" + count)) {
                int baseline = router.counters().descriptors();
                try (RouterClients clients = new RouterClients(port, count)) {
                    clients.queryOnEach();
                    Thread.sleep(small ? 0 : 1_500);
                    ProcessCounters before = router.counters();
                    Thread.sleep(small ? 500 : 6_000);
                    ProcessCounters now = router.counters();
                    descriptors.add(new Point(count, now.descriptors() - baseline));
                    resident.add(new Point(count, now.residentKb() / 1024.0));
                    idle.add(new Point(count, 100 * now.coresSince(before)));
                }
            }
        }
        report.slope(
                "clients.descriptors",
                "more than before they came",
                "connections",
                TARGET_CONNECTIONS,
                2 * Report.COUNTED,
                descriptors);
        report.slope("clients.resident_mb", "MB", "idle connections", TARGET_CONNECTIONS, Report.TIMED, resident);
        if (!small) {
            report.slope(
                    "clients.idle_cpu_percent",
                    "% of a core",
                    "idle connections",
                    TARGET_CONNECTIONS,
                    2 * Report.TIMED,
                    idle);
        }
    }

    private static void measureTransactions(DiscoveryStandIn list, SplittableRandom random, Path folder, Report report)
            throws IOException, InterruptedException {
        List<Point> cores = new ArrayList<>();
        int port = ChildProcess.freePort();
        try (ChildProcess router = startRouter(list, folder, port, "txns");
                RouterClients clients = new RouterClients(port, ACTIVE_CLIENTS)) {
            clients.runAtRate(TXNS_PER_SECOND.get(TXNS_PER_SECOND.size() - 1), 6, random.split());
            for (int rate : TXNS_PER_SECOND) {
                clients.times().reset();
                ProcessCounters before = router.counters();
                double served = clients.runAtRate(rate, 4, random.split());
                ProcessCounters now = router.counters();
                cores.add(new Point(served, 100 * now.coresSince(before)));
                report.times("clients.answer_us_at_" + rate, clients.times());
            }
            report.figure("clients.working_resident_mb", router.counters().residentKb() / 1024.0);
            report.figure("clients.not_served", clients.failed());
        }
        report.slope(
                "clients.cpu_percent",
                "% of a core, three hosts",
                "txns a second",
                TARGET_TXNS_PER_SECOND,
                2 * Report.TIMED,
                cores);
    }
}
