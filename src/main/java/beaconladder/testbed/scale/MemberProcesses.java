package beaconladder.testbed.scale;

import beaconladder.testbed.scale.Slope.Point;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Processes with one real member each, among hollow peers: as newcomers, then settled. */
final class MemberProcesses {
    private static final int TARGET = 4_100;
    private static final int KNOW_SECONDS = 60;
    /** So long after it knows all a member tells them on as news; then it is settled. */
    private static final int NEWCOMER_MILLIS = 8_000;

    private record Pair(int members, SimulatedPeers peers, ChildProcess child) {}

    private MemberProcesses() {}

    static void measure(List<Integer> sizes, SplittableRandom chance, Path folder, Report report)
            throws IOException, InterruptedException {
        List<Pair> pairs = new ArrayList<>();
        List<Point> newcomer = new ArrayList<>();
        List<Point> newcomerCpu = new ArrayList<>();
        List<Point> log = new ArrayList<>();
        List<Point> rest = new ArrayList<>();
        List<Point> bytes = new ArrayList<>();
        List<Point> resident = new ArrayList<>();
        try {
            for (int members : sizes) {
                SimulatedPeers peers = new SimulatedPeers(members, chance.split());
                ChildProcess child = ChildProcess.start(
                        folder,
                        "member" + members,
                        ChildProcess.RUN,
                        MemberProcess.class.getName(),
                        String.valueOf(ChildProcess.freeDatagramPort()),
                        peers.seed(),
                        String.valueOf(members),
                        String.valueOf(NEWCOMER_MILLIS));
                pairs.add(new Pair(members, peers, child));
                peers.introduce();
                MemberProcess.knowsAll(child, KNOW_SECONDS);
                log.add(new Point(members, child.log().length() / 1e6));
                if (members == sizes.get(sizes.size() - 1)) {
                    newcomerCpu.add(new Point(members, child.counters().cpuNanos() / 1e6));
                    long told = peers.bytes.get();
                    Thread.sleep(NEWCOMER_MILLIS / 2);
                    newcomer.add(new Point(members, (peers.bytes.get() - told) * 2e3 / NEWCOMER_MILLIS));
                }
            }
            Thread.sleep(NEWCOMER_MILLIS);
            List<ProcessCounters> before = new ArrayList<>();
            long[] sent =
                    pairs.stream().mapToLong(pair -> pair.peers().bytes.get()).toArray();
            for (Pair pair : pairs) {
                before.add(pair.child().counters());
            }
            Thread.sleep(2 * NEWCOMER_MILLIS);
            for (int i = 0; i < sent.length; i++) {
                Pair pair = pairs.get(i);
                ProcessCounters now = pair.child().counters();
                rest.add(new Point(pair.members(), 100 * now.cores(before.get(i))));
                bytes.add(new Point(
                        pair.members(),
                        (pair.peers().bytes.get() - sent[i])
                                / ((now.at() - before.get(i).at()) / 1e9)));
                resident.add(new Point(pair.members(), now.residentKb() / 1024.0));
            }
        } finally {
            for (Pair pair : pairs) {
                pair.child().close();
                pair.peers().close();
            }
        }
        report.slope("members.real_cpu_percent", "% of a core", "members", TARGET, 2 * Report.TIMED, rest);
        // The same at all sizes but for chance: on a machine that others use, members suspect some.
        bytes.forEach(point -> report.figure("members.real_bytes_s_" + (int) point.size(), point.value()));
        double middle = bytes.stream()
                .mapToDouble(Point::value)
                .sorted()
                .skip(bytes.size() / 2)
                .findFirst()
                .orElseThrow();
        report.atMost(
                "members.real_bytes_by_members", bytes.get(bytes.size() - 1).value() / middle, 3);
        report.slope(
                "members.real_resident_mb", "MB of a process with no more", "members", TARGET, Report.TIMED, resident);
        report.figure("members.newcomer_bytes_s", newcomer.get(0).value());
        report.figure(
                "members.newcomer_cpu_ms_with_its_start", newcomerCpu.get(0).value());
        for (Point point : log) {
            report.figure("members.newcomer_log_mb_" + (int) point.size(), point.value());
        }
    }
}
