package beaconladder.testbed.scale;

import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.scale.Slope.Point;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Clients. Real: a router process with the flags of `run`, its sockets, and its connections to clients and hosts.
 * Hollow: three stand-in hosts of one group that answer at once, clients that are a socket each.
 */
final class ClientsPart implements Part {
    private static final int CONNECTIONS = 4_390;
    private static final int TXNS = 902;
    /** Idle clients beyond an eighth of the descriptors are let go after some seconds. */
    private static final int SOCKETS = 18_000;

    private static final List<Integer> RATES = List.of(50, 100, 200, 400, 800);
    private static final int WORKING = 200;

    @Override
    public String of() {
        return "connections";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(20, 40, 80, 160, 240) : List.of(100, 250, 500, 1_000, 2_000);
    }

    @Override
    public long bytes(List<Integer> sizes) {
        long most = sizes.stream().mapToLong(n -> n).max().orElse(0);
        // Both ends of each connection are on this machine; at work each has a thread there.
        return 400_000_000L + 350_000 * most;
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom chance, Path folder, Report report)
            throws IOException, InterruptedException {
        List<HostStandIn> hosts = new ArrayList<>();
        for (String role : List.of("leader", "follower", "follower")) {
            hosts.add(new HostStandIn(role) {
                @Override
                protected void saw(String text) {
                    // It keeps none: it would hold more than the router that is measured.
                }
            });
        }
        try (DiscoveryStandIn list = new DiscoveryStandIn(hosts.size(), i -> hosts.get(i).port())) {
            connections(sizes, small, list, folder, report);
            if (!small) {
                txns(list, chance, folder, report);
                HostsUnderLoad.measure(hosts, chance, folder, report);
            }
        } finally {
            for (HostStandIn host : hosts) {
                host.close();
            }
        }
    }

    static ChildProcess router(DiscoveryStandIn list, Path folder, int port, String name) throws IOException, InterruptedException {
        ChildProcess router = ChildProcess.router(folder, name, RouterConfig.of(name, port, list.port(), SOCKETS));
        router.listens(port);
        return router;
    }

    private static void connections(List<Integer> sizes, boolean small, DiscoveryStandIn list, Path folder, Report report)
            throws IOException, InterruptedException {
        List<Point> descriptors = new ArrayList<>();
        List<Point> resident = new ArrayList<>();
        List<Point> idle = new ArrayList<>();
        for (int count : sizes) {
            int port = ChildProcess.freePort();
            try (ChildProcess router = router(list, folder, port, "c" + count)) {
                int own = router.counters().descriptors();
                try (RouterClients callers = new RouterClients(port, count)) {
                    callers.askAll();
                    Thread.sleep(small ? 0 : 1_500);
                    ProcessCounters begun = router.counters();
                    Thread.sleep(small ? 500 : 6_000);
                    ProcessCounters now = router.counters();
                    descriptors.add(new Point(count, now.descriptors() - own));
                    resident.add(new Point(count, now.residentKb() / 1024.0));
                    idle.add(new Point(count, 100 * now.cores(begun)));
                }
            }
        }
        report.slope(
                "clients.descriptors",
                "more than before they came",
                "connections",
                CONNECTIONS,
                2 * Report.COUNTED,
                descriptors);
        report.slope("clients.resident_mb", "MB", "idle connections", CONNECTIONS, Report.TIMED, resident);
        if (!small) {
            report.slope(
                    "clients.idle_cpu_percent", "% of a core", "idle connections", CONNECTIONS, 2 * Report.TIMED, idle);
        }
    }

    private static void txns(DiscoveryStandIn list, SplittableRandom chance, Path folder, Report report)
            throws IOException, InterruptedException {
        List<Point> cores = new ArrayList<>();
        int port = ChildProcess.freePort();
        try (ChildProcess router = router(list, folder, port, "txns");
                RouterClients callers = new RouterClients(port, WORKING)) {
            callers.work(RATES.get(RATES.size() - 1), 6, chance.split());
            for (int rate : RATES) {
                callers.times().reset();
                ProcessCounters before = router.counters();
                double served = callers.work(rate, 4, chance.split());
                ProcessCounters now = router.counters();
                cores.add(new Point(served, 100 * now.cores(before)));
                report.times("clients.answer_us_at_" + rate, callers.times());
            }
            report.figure("clients.working_resident_mb", router.counters().residentKb() / 1024.0);
            report.figure("clients.not_served", callers.failed());
        }
        report.slope("clients.cpu_percent", "% of a core, three hosts", "txns a second", TXNS, 2 * Report.TIMED, cores);
    }
}
