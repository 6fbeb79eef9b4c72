package beaconladder.testbed;

import beaconladder.feed.Relay;
import beaconladder.testbed.ChildProcesses.Program;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** What the processes of a fleet consume between two samples: processor, memory, and bytes on the sockets. */
final class FeedFigures {
    /** Unit of the processor times in {@code /proc/PID/stat}, per second. */
    private static final double TICKS_PER_SECOND = 100;

    /** Counters at one time; ticks by group of processes. */
    private record Sample(long nanos, long bytes, long answers, long[] ticks) {}

    private final FeedFleet fleet;
    private Sample start;

    FeedFigures(FeedFleet fleet) {
        this.fleet = fleet;
    }

    void begin() {
        start = sample();
    }

    /** Adds the consumption since {@link #begin}, per router or process. */
    void end(ObjectNode into, int routers) {
        Sample end = sample();
        double seconds = (end.nanos - start.nanos) / 1e9;
        into.put("seconds", round(seconds));
        into.put("bytes_s_router", round((end.bytes - start.bytes) / seconds / routers));
        into.put("polls_s_router", round((end.answers - start.answers) / seconds / routers));
        List<List<Program>> groups = groups();
        String[] names = {"hollow_core_percent_router", "relay_core_percent", "grantor_core_percent"};
        for (int i = 0; i < groups.size(); i++) {
            double cores = (end.ticks[i] - start.ticks[i]) / TICKS_PER_SECOND / seconds;
            into.put(
                    names[i],
                    round(100 * cores / (i == 0 ? routers : groups.get(i).size())));
        }
        into.put(
                "relay_mb_most",
                fleet.relays.stream()
                                .mapToLong(each -> residentKilobytes(each))
                                .max()
                                .orElse(0)
                        / 1024);
        into.put(
                "grantor_mb_most",
                fleet.leaseServers.stream()
                                .mapToLong(each -> residentKilobytes(each))
                                .max()
                                .orElse(0)
                        / 1024);
        into.put(
                "hollow_kb_router",
                round(fleet.simulated.stream()
                                .mapToLong(each -> residentKilobytes(each))
                                .sum()
                        / (double) routers));
    }

    private static double round(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    private List<List<Program>> groups() {
        return List.of(fleet.simulated, fleet.relays, fleet.leaseServers);
    }

    private Sample sample() {
        List<Relay.Status> all = fleet.statuses();
        return new Sample(
                System.nanoTime(),
                        all.stream()
                                .mapToLong(each -> each.bytesIn() + each.bytesOut())
                                .sum(),
                all.stream().mapToLong(Relay.Status::answers).sum(),
                        groups().stream()
                                .mapToLong(group -> group.stream()
                                        .mapToLong(FeedFigures::ticks)
                                        .sum())
                                .toArray());
    }

    private static long ticks(Program program) {
        try {
            String stat = Files.readString(Path.of("/proc/" + program.pid() + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        } catch (IOException e) {
            return 0;
        }
    }

    private static long residentKilobytes(Program program) {
        try {
            return Files.readAllLines(Path.of("/proc/" + program.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmRSS"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }
}
