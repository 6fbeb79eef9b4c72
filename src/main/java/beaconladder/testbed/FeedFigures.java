package beaconladder.testbed;

import beaconladder.feed.Relay;
import beaconladder.testbed.ChildProcesses.Program;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** What the processes of a fleet cost between two looks: of the system's own counts, and of the sockets. */
final class FeedFigures {
    /** Ticks of the processor a second, as Linux counts them for processes. */
    private static final double TICKS = 100;

    /** One look. */
    private record Look(long nanos, long bytes, long answers, long[] ticks) {}

    private final FeedFleet fleet;
    private Look from;

    FeedFigures(FeedFleet fleet) {
        this.fleet = fleet;
    }

    void begin() {
        from = look();
    }

    /** What it cost since the beginning. */
    void end(ObjectNode into, int routers) {
        Look to = look();
        double seconds = (to.nanos - from.nanos) / 1e9;
        into.put("seconds", round(seconds));
        into.put("bytes_s_router", round((to.bytes - from.bytes) / seconds / routers));
        into.put("polls_s_router", round((to.answers - from.answers) / seconds / routers));
        List<List<Program>> groups = groups();
        String[] names = {"hollow_core_percent_router", "relay_core_percent", "grantor_core_percent"};
        for (int i = 0; i < groups.size(); i++) {
            double cores = (to.ticks[i] - from.ticks[i]) / TICKS / seconds;
            into.put(
                    names[i],
                    round(100 * cores / (i == 0 ? routers : groups.get(i).size())));
        }
        into.put(
                "relay_mb_most",
                fleet.relays.stream().mapToLong(each -> kilobytes(each)).max().orElse(0) / 1024);
        into.put(
                "grantor_mb_most",
                fleet.grantors.stream().mapToLong(each -> kilobytes(each)).max().orElse(0) / 1024);
        into.put(
                "hollow_kb_router",
                round(fleet.hollow.stream().mapToLong(each -> kilobytes(each)).sum() / (double) routers));
    }

    private static double round(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    private List<List<Program>> groups() {
        return List.of(fleet.hollow, fleet.relays, fleet.grantors);
    }

    private Look look() {
        List<Relay.Status> all = fleet.statuses();
        return new Look(
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

    private static long kilobytes(Program program) {
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
