package beaconladder.testbed.scale;

import beaconladder.testbed.scale.Slope.Point;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * The fleet's membership. Real: one process with a member of the real classes and its socket among N hollow peers.
 * Hollow: N members of the real class in one thread, on a clock and a network of their own.
 */
final class MembersPart implements Part {
    private static final int TARGET = 4_100;
    private static final List<Integer> LOOKS = List.of(100, 250, 500, 1_000, 2_000, 4_100);
    private static final int LOOKS_SMALL = 3;
    /** What one holds of another: its word, its entries in map and round, its suspects. */
    private static final long BYTES = 260;

    @Override
    public String of() {
        return "members";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(18, 27, 45, 72, 144) : List.of(100, 200, 400, 800, 1_200);
    }

    @Override
    public long bytes(List<Integer> sizes) {
        long most = sizes.stream().mapToLong(n -> n).max().orElse(0);
        return 300_000_000L + BYTES * most * most;
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom chance, Path folder, Report report)
            throws IOException, InterruptedException {
        looks(small, report);
        if (!small) {
            MemberProcesses.measure(LOOKS, chance, folder, report);
        }
        List<FleetMeasurement> runs = new ArrayList<>();
        for (int size : sizes) {
            FleetMeasurement run = FleetMeasurement.of(size, chance.split());
            runs.add(run);
            report.say(String.format(
                    Locale.ROOT,
                    "  %d members: %.1f messages, %.0f B a second each; a death"
                            + " known after %d ms (half), %d ms (all); a ninth lost: %d, %d ms, %.0f B a second each;"
                            + " %d of 2 and %d of %d paused held for dead",
                    size,
                    run.messages(),
                    run.bytes(),
                    run.known().getValueAtPercentile(50),
                    run.known().getMaxValue(),
                    run.zone().getValueAtPercentile(50),
                    run.zone().getMaxValue(),
                    run.zoneBytes(),
                    run.buriedFew(),
                    run.buried(),
                    run.paused()));
        }
        report.slope(
                "members.messages_s",
                "a second a member",
                "members",
                TARGET,
                2 * Report.COUNTED,
                points(runs, FleetMeasurement::messages));
        report.slope(
                "members.bytes_s",
                "B/s a member",
                "members",
                TARGET,
                2 * Report.COUNTED,
                points(runs, FleetMeasurement::bytes));
        report.slope(
                "members.death_known_ms",
                "ms in the median",
                "log10 of members",
                Math.log10(TARGET),
                2 * Report.TIMED,
                logarithms(runs, run -> run.known().getValueAtPercentile(50)));
        report.slope(
                "members.zone_known_ms",
                "ms in the median",
                "log10 of members",
                Math.log10(TARGET),
                2 * Report.TIMED,
                logarithms(runs, run -> run.zone().getValueAtPercentile(50)));
        int buried = runs.stream().mapToInt(FleetMeasurement::buried).sum();
        report.figure(
                "members.false_deaths_of_two_paused",
                runs.stream().mapToInt(FleetMeasurement::buriedFew).sum());
        report.figure("members.false_deaths_of_a_twentieth", buried);
        report.figure("members.paused", runs.stream().mapToInt(FleetMeasurement::paused).sum());
    }

    private static void looks(boolean small, Report report) {
        List<Integer> sizes = small ? LOOKS.subList(0, LOOKS.size() - 1) : LOOKS;
        MembershipTickCost.micros(LOOKS.get(0), small ? 2 : 10);
        List<Point> at = new ArrayList<>();
        List<Point> view = new ArrayList<>();
        for (int members : sizes) {
            double[] micros = MembershipTickCost.micros(members, small ? LOOKS_SMALL : 10);
            at.add(new Point(members, micros[0]));
            view.add(new Point(members, micros[1]));
        }
        if (!small) {
            report.slope("members.look_us", "us for at and wake", "members", TARGET, 2 * Report.TIMED, at);
            report.slope("members.view_us", "us for view", "members", TARGET, 2 * Report.TIMED, view);
        }
        // Both walk all members: by the size, and no faster than a line with some room.
        int last = at.size() - 1;
        double times = at.get(last).size() / at.get(last - 2).size();
        report.atMost(
                "members.look_by_size", at.get(last).value() / at.get(last - 2).value(), 2.5 * times);
    }

    private static List<Point> points(List<FleetMeasurement> runs, ToDoubleFunction<FleetMeasurement> value) {
        return runs.stream()
                .map(run -> new Point(run.size(), value.applyAsDouble(run)))
                .toList();
    }

    private static List<Point> logarithms(List<FleetMeasurement> runs, ToDoubleFunction<FleetMeasurement> value) {
        return runs.stream()
                .map(run -> new Point(Math.log10(run.size()), value.applyAsDouble(run)))
                .toList();
    }
}
