package beaconladder.testbed.scale;

import beaconladder.testbed.scale.Slope.Point;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * The list of hosts. Real: a router process with the flags of `run`, one for each size, and its sockets. Hollow:
 * discovery's agent is a stand-in, one listening socket stands for all hosts, there are no clients.
 */
final class ListPart implements Part {
    private static final int TARGET = 5_800;
    /** A changed host a change; one in 10 s is what 8,700 a day come to. */
    private static final int CHANGES_A_SECOND = 16;

    private static final int ZONES = 9;

    /** A router before its list. */
    private record Site(int hosts, DiscoveryStandIn list, ChildProcess router) {}

    /** What one of them has used in some time. */
    private record Used(double seconds, double cores, long bytes, ProcessCounters end) {}

    @Override
    public String of() {
        return "hosts";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(30, 60, 120, 240, 480) : List.of(60, 300, 600, 1_200, 2_400, 5_800);
    }

    @Override
    public long bytes(List<Integer> sizes) {
        // A router's process with its list in transit, and the stand-in's copies.
        return sizes.stream().mapToLong(n -> 150_000_000L + 20_000L * n).sum();
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom chance, Path folder, Report report)
            throws IOException, InterruptedException {
        List<Site> sites = new ArrayList<>();
        try (SharedHostStandIn host = new SharedHostStandIn()) {
            for (int hosts : sizes) {
                DiscoveryStandIn list = new DiscoveryStandIn(hosts, host.port());
                int port = ChildProcess.freePort();
                ChildProcess router = ChildProcess.router(folder, "r" + hosts, RouterConfig.of("r" + hosts, port, list.port(), 512));
                sites.add(new Site(hosts, list, router));
                router.listens(port);
            }
            // Compiled code and heap have found their size after some calls.
            Thread.sleep(small ? 3_000 : 12_000);
            long began = System.nanoTime();
            List<Used> rest = use(sites, () -> Thread.sleep(small ? 10_000 : 30_000));
            report.flat(
                    "list.rest_bytes_s",
                    "B/s",
                    2 * Report.COUNTED,
                    points(sites, i -> sites.get(i).list().bytesASecond(began)));
            report.slope(
                    "list.resident_mb",
                    "MB",
                    "hosts",
                    TARGET,
                    Report.TIMED,
                    points(sites, i -> rest.get(i).end().residentKb() / 1024.0));
            if (!small) {
                report.slope(
                        "list.rest_cpu_percent",
                        "% of a core",
                        "hosts",
                        TARGET,
                        Report.TIMED,
                        points(sites, i -> 100 * rest.get(i).cores()));
            }
            report.figure("list.descriptors", rest.get(sites.size() - 1).end().descriptors());
            report.figure("list.threads", rest.get(sites.size() - 1).end().threads());
            changes(sites, rest, small, chance, report);
            burst(sites, small, report);
        } finally {
            for (Site site : sites) {
                site.router().close();
                site.list().close();
            }
        }
        if (!small) {
            EndpointWatchLoad.measure(folder, report);
        }
    }

    private void changes(List<Site> sites, List<Used> rest, boolean small, SplittableRandom chance, Report report)
            throws IOException, InterruptedException {
        int count = CHANGES_A_SECOND * (small ? 2 : 10);
        sites.forEach(site -> site.list().applied());
        long[] told = sites.stream().mapToLong(site -> site.list().news.get()).toArray();
        List<Used> used = use(sites, () -> {
            for (int i = 0; i < count; i++) {
                int draw = chance.nextInt(1 << 20);
                String state = i % 2 == 0 ? "Terminating" : "Ready";
                sites.forEach(site -> site.list().change(List.of(draw % site.hosts()), state));
                Thread.sleep(1_000 / CHANGES_A_SECOND);
            }
        });
        for (int i = 0; i < sites.size(); i++) {
            told[i] = sites.get(i).list().news.get() - told[i];
            // Two changes of a host between two calls are one.
            if (told[i] < count / 2) {
                throw new IOException("only " + told[i] + " of " + count + " changes were asked for");
            }
        }
        Histogram applied = sites.get(sites.size() - 1).list().applied();
        report.times("list.change_applied_us", applied);
        List<Point> bytes = points(sites, i -> used.get(i).bytes() / (double) told[i]);
        report.atMost(
                "list.change_bytes_by_largest_list",
                bytes.get(bytes.size() - 1).value()
                        / bytes.get(bytes.size() - 3).value(),
                1.5);
        report.figure("list.change_bytes", bytes.get(bytes.size() - 1).value());
        if (!small) {
            // Nearly the same at all sizes, so that a line through it would follow what is by chance.
            List<Point> cost = points(
                    sites,
                    i -> Math.max(
                            0,
                            1e6
                                    * used.get(i).seconds()
                                    * (used.get(i).cores() - rest.get(i).cores())
                                    / count));
            cost.forEach(p -> report.figure("list.change_cpu_us_" + (int) p.size(), p.value()));
            report.atMost(
                    "list.change_cpu_by_hosts",
                    cost.get(cost.size() - 1).value()
                            / cost.get(cost.size() - 3).value(),
                    4);
        }
    }

    private void burst(List<Site> sites, boolean small, Report report) throws IOException, InterruptedException {
        sites.forEach(site -> site.list().applied());
        List<Used> used = use(sites, () -> {
            long[] told =
                    sites.stream().mapToLong(site -> site.list().news.get()).toArray();
            sites.forEach(site -> site.list().change(zone(site), "Gone"));
            for (int i = 0; i < sites.size(); i++) {
                sites.get(i).list().awaitChanges(told[i] + zone(sites.get(i)).size());
            }
            Thread.sleep(small ? 1_000 : 3_000);
        });
        List<Histogram> applied =
                sites.stream().map(site -> site.list().applied()).toList();
        report.slope(
                "list.zone_lost_bytes",
                "B",
                "hosts",
                TARGET,
                Report.COUNTED,
                points(sites, i -> used.get(i).bytes()));
        for (int i = 0; i < sites.size(); i++) {
            report.say(String.format(
                    java.util.Locale.ROOT,
                    "  zone lost, %d hosts: %d gone, applied after %.1f ms, %.0f ms of processor time",
                    sites.get(i).hosts(),
                    zone(sites.get(i)).size(),
                    applied.get(i).getMaxValue() / 1e3,
                    1e3 * used.get(i).cores() * used.get(i).seconds()));
        }
        report.figure("list.zone_lost_applied_ms", applied.get(sites.size() - 1).getMaxValue() / 1e3);
        report.figure(
                "list.zone_lost_cpu_ms",
                1e3
                        * used.get(sites.size() - 1).cores()
                        * used.get(sites.size() - 1).seconds());
    }

    private static List<Integer> zone(Site site) {
        return IntStream.range(0, site.hosts())
                .filter(host -> host % ZONES == 1)
                .boxed()
                .toList();
    }

    private interface While {
        void run() throws InterruptedException;
    }

    private interface Value {
        double of(int site);
    }

    private static List<Point> points(List<Site> sites, Value value) {
        return IntStream.range(0, sites.size())
                .mapToObj(i -> new Point(sites.get(i).hosts(), value.of(i)))
                .toList();
    }

    private static List<Used> use(List<Site> sites, While meanwhile) throws IOException, InterruptedException {
        List<ProcessCounters> before = new ArrayList<>();
        long[] bytes = new long[sites.size()];
        for (int i = 0; i < sites.size(); i++) {
            before.add(sites.get(i).router().counters());
            bytes[i] = sites.get(i).list().bytes.get();
        }
        meanwhile.run();
        List<Used> used = new ArrayList<>();
        for (int i = 0; i < sites.size(); i++) {
            ProcessCounters now = sites.get(i).router().counters();
            used.add(new Used(
                    (now.at() - before.get(i).at()) / 1e9,
                    now.cores(before.get(i)),
                    sites.get(i).list().bytes.get() - bytes[i],
                    now));
        }
        return used;
    }
}
