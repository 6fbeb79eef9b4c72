package beaconladder.testbed.scale;

import beaconladder.testbed.scale.Slope.Point;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Measures the routing module by number of hosts, at the transaction rate of one router. Real: the module and its
 * decision loop, in this process. Simulated: the hosts, their answers and the time.
 */
final class RoutingPart implements Part {
    private static final int TARGET = 5_800;

    @Override
    public String sizeUnit() {
        return "hosts";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(30, 60, 90, 120, 240) : RoutingCost.SIZES;
    }

    @Override
    public long estimatedMemoryBytes(List<Integer> sizes) {
        return 200_000_000L + 20_000L * sizes.stream().mapToLong(n -> n).max().orElse(0);
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom random, Path folder, Report report) {
        long seed = random.nextLong(1 << 20);
        // The first run is not counted: it lets code be compiled.
        RoutingCost.measure(sizes.get(0), seed);
        List<Map<String, Object>> runs =
                sizes.stream().map(hosts -> RoutingCost.measure(hosts, seed)).toList();
        List<Point> micros = points(sizes, runs, "micros_a_txn");
        // The curve levels off, so a line fitted at its small sizes would predict noise; a rule replaces the line.
        micros.forEach(point -> report.figure("module.micros_a_txn_" + (int) point.size(), point.value()));
        // The unit test allows a factor of two, measured in alternation; these runs follow one another.
        report.atMost(
                "module.micros_by_hosts",
                micros.get(micros.size() - 1).value() / micros.get(0).value(),
                4);
        report.slope(
                "module.heap_bytes",
                "bytes",
                "hosts",
                TARGET,
                Report.TIMED,
                sizes.stream()
                        .map(hosts ->
                                new Point(hosts, hosts * number(runs.get(sizes.indexOf(hosts)), "heap_bytes_a_host")))
                        .toList());
        report.figure("module.share_of_core_at_largest", number(runs.get(runs.size() - 1), "share_of_core"));
    }

    private static List<Point> points(List<Integer> sizes, List<Map<String, Object>> runs, String name) {
        return sizes.stream()
                .map(size -> new Point(size, number(runs.get(sizes.indexOf(size)), name)))
                .toList();
    }

    private static double number(Map<String, Object> run, String name) {
        return ((Number) run.get(name)).doubleValue();
    }
}
