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
 * Measures fleet membership. Real: one process with a real member and its socket among N simulated peers. Simulated: N
 * real protocol instances in one thread, on a virtual clock and network.
 */
final class MembersPart implements Part {
    private static final int TARGET = 4_100;
    private static final List<Integer> TICK_SIZES = List.of(100, 250, 500, 1_000, 2_000, 4_100);
    private static final int TICK_ROUNDS_SMALL = 3;
    /**
     * Bytes that one member keeps about another: its state, its entries in the map and the probe order, and its
     * suspicions.
     */
    private static final long BYTES_PER_PAIR = 260;

    @Override
    public String sizeUnit() {
        return "members";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(18, 27, 45, 72, 144) : List.of(100, 200, 400, 800, 1_200);
    }

    @Override
    public long estimatedMemoryBytes(List<Integer> sizes) {
        long largest = sizes.stream().mapToLong(n -> n).max().orElse(0);
        return 300_000_000L + BYTES_PER_PAIR * largest * largest;
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom random, Path folder, Report report)
            throws IOException, InterruptedException {
        measureTicks(small, report);
        if (!small) {
            MemberProcesses.measure(TICK_SIZES, random, folder, report);
        }
        List<FleetMeasurement> runs = new ArrayList<>();
        for (int size : sizes) {
            FleetMeasurement run = FleetMeasurement.of(size, random.split());
            runs.add(run);
            report.print(String.format(
                    Locale.ROOT,
                    "  %d members: %.1f messages, %.0f B a second each; a death"
                            + " known after %d ms (half), %d ms (all); a ninth lost: %d, %d ms, %.0f B a second each;"
                            + " %d of 2 and %d of %d paused considered dead",
                    size,
                    run.messagesPerSecond(),
                    run.bytesPerSecond(),
                    run.detectionMillis().getValueAtPercentile(50),
                    run.detectionMillis().getMaxValue(),
                    run.zoneDetectionMillis().getValueAtPercentile(50),
                    run.zoneDetectionMillis().getMaxValue(),
                    run.zoneBytesPerSecond(),
                    run.falseDeathsOfTwo(),
                    run.falseDeaths(),
                    run.pausedCount()));
        }
        report.slope(
                "members.messages_s",
                "a second a member",
                "members",
                TARGET,
                2 * Report.COUNTED,
                points(runs, FleetMeasurement::messagesPerSecond));
        report.slope(
                "members.bytes_s",
                "B/s a member",
                "members",
                TARGET,
                2 * Report.COUNTED,
                points(runs, FleetMeasurement::bytesPerSecond));
        report.slope(
                "members.death_known_ms",
                "ms in the median",
                "log10 of members",
                Math.log10(TARGET),
                2 * Report.TIMED,
                pointsByLogarithm(runs, run -> run.detectionMillis().getValueAtPercentile(50)));
        report.slope(
                "members.zone_known_ms",
                "ms in the median",
                "log10 of members",
                Math.log10(TARGET),
                2 * Report.TIMED,
                pointsByLogarithm(runs, run -> run.zoneDetectionMillis().getValueAtPercentile(50)));
        int falseDeaths = runs.stream().mapToInt(FleetMeasurement::falseDeaths).sum();
        report.figure(
                "members.false_deaths_of_two_paused",
                runs.stream().mapToInt(FleetMeasurement::falseDeathsOfTwo).sum());
        report.figure("members.false_deaths_of_a_twentieth", falseDeaths);
        report.figure(
                "members.paused",
                runs.stream().mapToInt(FleetMeasurement::pausedCount).sum());
    }

    private static void measureTicks(boolean small, Report report) {
        List<Integer> sizes = small ? TICK_SIZES.subList(0, TICK_SIZES.size() - 1) : TICK_SIZES;
        MembershipTickCost.micros(TICK_SIZES.get(0), small ? 2 : 10);
        List<Point> tick = new ArrayList<>();
        List<Point> view = new ArrayList<>();
        for (int members : sizes) {
            double[] micros = MembershipTickCost.micros(members, small ? TICK_ROUNDS_SMALL : 10);
            tick.add(new Point(members, micros[0]));
            view.add(new Point(members, micros[1]));
        }
        if (!small) {
            report.slope("members.look_us", "us for at and wake", "members", TARGET, 2 * Report.TIMED, tick);
            report.slope("members.view_us", "us for view", "members", TARGET, 2 * Report.TIMED, view);
        }
        // Both visit all members: the cost grows with the size, and at most linearly with some margin.
        int last = tick.size() - 1;
        double sizeRatio = tick.get(last).size() / tick.get(last - 2).size();
        report.atMost(
                "members.look_by_size",
                tick.get(last).value() / tick.get(last - 2).value(),
                2.5 * sizeRatio);
    }

    private static List<Point> points(List<FleetMeasurement> runs, ToDoubleFunction<FleetMeasurement> value) {
        return runs.stream()
                .map(run -> new Point(run.size(), value.applyAsDouble(run)))
                .toList();
    }

    private static List<Point> pointsByLogarithm(
            List<FleetMeasurement> runs, ToDoubleFunction<FleetMeasurement> value) {
        return runs.stream()
                .map(run -> new Point(Math.log10(run.size()), value.applyAsDouble(run)))
                .toList();
    }
}
