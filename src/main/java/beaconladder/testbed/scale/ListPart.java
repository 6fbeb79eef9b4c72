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
 * Measures the endpoint list. Real: a router process for each size, with the flags of `run` and its sockets. Simulated:
 * the discovery agent is a stand-in, one listening socket represents all hosts, and there are no clients.
 */
final class ListPart implements Part {
    private static final int TARGET = 5_800;
    /** Changes per second, each of one host. One in 10 s is what 8,700 changes per day amount to. */
    private static final int CHANGES_A_SECOND = 16;

    private static final int ZONE_COUNT = 9;

    /** A router with its endpoint list. */
    private record RouterSetup(int hosts, DiscoveryStandIn list, ChildProcess router) {}

    /** The resources that one router used in a period. */
    private record Usage(double seconds, double cores, long bytes, ProcessCounters end) {}

    @Override
    public String sizeUnit() {
        return "hosts";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(30, 60, 120, 240, 480) : List.of(60, 300, 600, 1_200, 2_400, 5_800);
    }

    @Override
    public long estimatedMemoryBytes(List<Integer> sizes) {
        // A router process with its list in transit, and the copies of the stand-in.
        return sizes.stream().mapToLong(n -> 150_000_000L + 20_000L * n).sum();
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom random, Path folder, Report report)
            throws IOException, InterruptedException {
        List<RouterSetup> setups = new ArrayList<>();
        try (SharedHostStandIn host = new SharedHostStandIn()) {
            for (int hosts : sizes) {
                DiscoveryStandIn list = new DiscoveryStandIn(hosts, host.port());
                int port = ChildProcess.freePort();
                ChildProcess router =
                        ChildProcess.router(folder, "r" + hosts, RouterConfig.of("r" + hosts, port, list.port(), 512));
                setups.add(new RouterSetup(hosts, list, router));
                router.awaitListening(port);
            }
            // Code is compiled and the heap has reached its size after some calls.
            Thread.sleep(small ? 3_000 : 12_000);
            long startNanos = System.nanoTime();
            List<Usage> idle = measureUsage(setups, () -> Thread.sleep(small ? 10_000 : 30_000));
            report.flat(
                    "list.rest_bytes_s",
                    "B/s",
                    2 * Report.COUNTED,
                    points(setups, i -> setups.get(i).list().bytesPerSecond(startNanos)));
            report.slope(
                    "list.resident_mb",
                    "MB",
                    "hosts",
                    TARGET,
                    Report.TIMED,
                    points(setups, i -> idle.get(i).end().residentKb() / 1024.0));
            if (!small) {
                report.slope(
                        "list.rest_cpu_percent",
                        "% of a core",
                        "hosts",
                        TARGET,
                        Report.TIMED,
                        points(setups, i -> 100 * idle.get(i).cores()));
            }
            report.figure("list.descriptors", idle.get(setups.size() - 1).end().descriptors());
            report.figure("list.threads", idle.get(setups.size() - 1).end().threads());
            applyChanges(setups, idle, small, random, report);
            loseZone(setups, small, report);
        } finally {
            for (RouterSetup setup : setups) {
                setup.router().close();
                setup.list().close();
            }
        }
        if (!small) {
            EndpointWatchLoad.measure(folder, report);
        }
    }

    private void applyChanges(
            List<RouterSetup> setups, List<Usage> idle, boolean small, SplittableRandom random, Report report)
            throws IOException, InterruptedException {
        int count = CHANGES_A_SECOND * (small ? 2 : 10);
        setups.forEach(setup -> setup.list().applyTimes());
        long[] changesSent = setups.stream()
                .mapToLong(setup -> setup.list().changesSent.get())
                .toArray();
        List<Usage> usage = measureUsage(setups, () -> {
            for (int i = 0; i < count; i++) {
                int randomNumber = random.nextInt(1 << 20);
                String state = i % 2 == 0 ? "Terminating" : "Ready";
                setups.forEach(setup -> setup.list().change(List.of(randomNumber % setup.hosts()), state));
                Thread.sleep(1_000 / CHANGES_A_SECOND);
            }
        });
        for (int i = 0; i < setups.size(); i++) {
            changesSent[i] = setups.get(i).list().changesSent.get() - changesSent[i];
            // Two changes of a host between two calls are reported as one.
            if (changesSent[i] < count / 2) {
                throw new IOException("only " + changesSent[i] + " of " + count + " changes were asked for");
            }
        }
        Histogram applied = setups.get(setups.size() - 1).list().applyTimes();
        report.times("list.change_applied_us", applied);
        List<Point> bytes = points(setups, i -> usage.get(i).bytes() / (double) changesSent[i]);
        report.atMost(
                "list.change_bytes_by_largest_list",
                bytes.get(bytes.size() - 1).value()
                        / bytes.get(bytes.size() - 3).value(),
                1.5);
        report.figure("list.change_bytes", bytes.get(bytes.size() - 1).value());
        if (!small) {
            // The cost is nearly the same at all sizes, so a fitted line would follow noise.
            List<Point> cpuMicros = points(
                    setups,
                    i -> Math.max(
                            0,
                            1e6
                                    * usage.get(i).seconds()
                                    * (usage.get(i).cores() - idle.get(i).cores())
                                    / count));
            cpuMicros.forEach(p -> report.figure("list.change_cpu_us_" + (int) p.size(), p.value()));
            report.atMost(
                    "list.change_cpu_by_hosts",
                    cpuMicros.get(cpuMicros.size() - 1).value()
                            / cpuMicros.get(cpuMicros.size() - 3).value(),
                    4);
        }
    }

    private void loseZone(List<RouterSetup> setups, boolean small, Report report)
            throws IOException, InterruptedException {
        setups.forEach(setup -> setup.list().applyTimes());
        List<Usage> usage = measureUsage(setups, () -> {
            long[] changesSent = setups.stream()
                    .mapToLong(setup -> setup.list().changesSent.get())
                    .toArray();
            setups.forEach(setup -> setup.list().change(zoneHosts(setup), "Gone"));
            for (int i = 0; i < setups.size(); i++) {
                setups.get(i)
                        .list()
                        .awaitChanges(changesSent[i] + zoneHosts(setups.get(i)).size());
            }
            Thread.sleep(small ? 1_000 : 3_000);
        });
        List<Histogram> applied =
                setups.stream().map(setup -> setup.list().applyTimes()).toList();
        report.slope(
                "list.zone_lost_bytes",
                "B",
                "hosts",
                TARGET,
                Report.COUNTED,
                points(setups, i -> usage.get(i).bytes()));
        for (int i = 0; i < setups.size(); i++) {
            report.print(String.format(
                    java.util.Locale.ROOT,
                    "  zone lost, %d hosts: %d gone, applied after %.1f ms, %.0f ms of processor time",
                    setups.get(i).hosts(),
                    zoneHosts(setups.get(i)).size(),
                    applied.get(i).getMaxValue() / 1e3,
                    1e3 * usage.get(i).cores() * usage.get(i).seconds()));
        }
        report.figure(
                "list.zone_lost_applied_ms", applied.get(setups.size() - 1).getMaxValue() / 1e3);
        report.figure(
                "list.zone_lost_cpu_ms",
                1e3
                        * usage.get(setups.size() - 1).cores()
                        * usage.get(setups.size() - 1).seconds());
    }

    private static List<Integer> zoneHosts(RouterSetup setup) {
        return IntStream.range(0, setup.hosts())
                .filter(host -> host % ZONE_COUNT == 1)
                .boxed()
                .toList();
    }

    private interface Workload {
        void run() throws InterruptedException;
    }

    private interface RouterValue {
        double of(int setup);
    }

    private static List<Point> points(List<RouterSetup> setups, RouterValue value) {
        return IntStream.range(0, setups.size())
                .mapToObj(i -> new Point(setups.get(i).hosts(), value.of(i)))
                .toList();
    }

    private static List<Usage> measureUsage(List<RouterSetup> setups, Workload workload)
            throws IOException, InterruptedException {
        List<ProcessCounters> before = new ArrayList<>();
        long[] bytes = new long[setups.size()];
        for (int i = 0; i < setups.size(); i++) {
            before.add(setups.get(i).router().counters());
            bytes[i] = setups.get(i).list().bytes.get();
        }
        workload.run();
        List<Usage> usage = new ArrayList<>();
        for (int i = 0; i < setups.size(); i++) {
            ProcessCounters now = setups.get(i).router().counters();
            usage.add(new Usage(
                    (now.readAtNanos() - before.get(i).readAtNanos()) / 1e9,
                    now.coresSince(before.get(i)),
                    setups.get(i).list().bytes.get() - bytes[i],
                    now));
        }
        return usage;
    }
}
