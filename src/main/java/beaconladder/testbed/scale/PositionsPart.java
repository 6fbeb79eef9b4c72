package beaconladder.testbed.scale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Measures a router's record of positions by number of groups. Real: the routing module and its decision loop.
 * Simulated: hosts, their log, and the time. The results are curves that level off, so they are reported at the target
 * size itself.
 */
final class PositionsPart implements Part {
    private static final int SECONDS = 60;
    private static final int SECONDS_SMALL = 8;

    @Override
    public String sizeUnit() {
        return "groups";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(10, 20, 30, 40, 60) : Positions.SIZES;
    }

    @Override
    public long estimatedMemoryBytes(List<Integer> sizes) {
        return 400_000_000L + 60_000L * sizes.stream().mapToLong(n -> n).max().orElse(0);
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom random, Path folder, Report report) {
        long seed = random.nextLong(1 << 20);
        double stale = 0;
        Map<String, Object> latest = Map.of();
        for (int groups : sizes) {
            latest = Positions.run(groups, seed, small ? SECONDS_SMALL : SECONDS);
            stale += number(latest, "bounded_stale") + number(latest, "session_stale") + number(latest, "any_stale");
            report.print("  " + text(latest));
        }
        reportAll(latest, "positions.", report);
        if (!small) {
            int largest = sizes.get(sizes.size() - 1);
            reportAll(Positions.cold(largest, seed, SECONDS), "positions.cold_", report);
            reportAll(ZoneLoss.run(largest, seed), "positions.zone_", report);
        }
        report.atMost("positions.stale_reads", stale, 0);
    }

    private static void reportAll(Map<String, Object> figures, String prefix, Report report) {
        figures.forEach((name, value) -> {
            if (value instanceof Number number) {
                report.figure(prefix + name, number.doubleValue());
            }
        });
    }

    private static double number(Map<String, Object> run, String name) {
        return ((Number) run.get(name)).doubleValue();
    }

    private static String text(Map<String, Object> run) {
        try {
            return new ObjectMapper().writeValueAsString(run);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
