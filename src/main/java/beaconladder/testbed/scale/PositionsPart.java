package beaconladder.testbed.scale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A router's record of positions by the number of groups. Real: the module and its rounds. Hollow: hosts, their log,
 * and the time. What it tells are curves that level off, so they are told at the target itself.
 */
final class PositionsPart implements Part {
    private static final int SECONDS = 60;
    private static final int SECONDS_SMALL = 8;

    @Override
    public String of() {
        return "groups";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(10, 20, 30, 40, 60) : Positions.SIZES;
    }

    @Override
    public long bytes(List<Integer> sizes) {
        return 400_000_000L + 60_000L * sizes.stream().mapToLong(n -> n).max().orElse(0);
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom chance, Path folder, Report report) {
        long seed = chance.nextLong(1 << 20);
        double stale = 0;
        Map<String, Object> last = Map.of();
        for (int groups : sizes) {
            last = Positions.run(groups, seed, small ? SECONDS_SMALL : SECONDS);
            stale += number(last, "bounded_stale") + number(last, "session_stale") + number(last, "any_stale");
            report.say("  " + text(last));
        }
        tell(last, "positions.", report);
        if (!small) {
            int most = sizes.get(sizes.size() - 1);
            tell(Positions.cold(most, seed, SECONDS), "positions.cold_", report);
            tell(ZoneLoss.run(most, seed), "positions.zone_", report);
        }
        report.atMost("positions.stale_reads", stale, 0);
    }

    private static void tell(Map<String, Object> figures, String before, Report report) {
        figures.forEach((name, value) -> {
            if (value instanceof Number number) {
                report.figure(before + name, number.doubleValue());
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
