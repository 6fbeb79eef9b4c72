package beaconladder.testbed.scale;

import beaconladder.testbed.scale.Slope.Point;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Measures processes with one real member each among simulated peers, first as newcomers, then converged. */
final class MemberProcesses {
    private static final int TARGET = 4_100;
    private static final int KNOWS_ALL_TIMEOUT_SECONDS = 60;
    /** How long a member keeps spreading updates after it knows all others; then it is treated as converged. */
    private static final int NEWCOMER_MILLIS = 8_000;

    private record Setup(int members, SimulatedPeers peers, ChildProcess child) {}

    private MemberProcesses() {}

    static void measure(List<Integer> sizes, SplittableRandom random, Path folder, Report report)
            throws IOException, InterruptedException {
        List<Setup> setups = new ArrayList<>();
        List<Point> newcomer = new ArrayList<>();
        List<Point> newcomerCpu = new ArrayList<>();
        List<Point> log = new ArrayList<>();
        List<Point> idleCpu = new ArrayList<>();
        List<Point> bytes = new ArrayList<>();
        List<Point> resident = new ArrayList<>();
        try {
            for (int members : sizes) {
                SimulatedPeers peers = new SimulatedPeers(members, random.split());
                ChildProcess child = ChildProcess.start(
                        folder,
                        "member" + members,
                        ChildProcess.ROUTER_JVM_FLAGS,
                        MemberProcess.class.getName(),
                        String.valueOf(ChildProcess.freeDatagramPort()),
                        peers.seed(),
                        String.valueOf(members),
                        String.valueOf(NEWCOMER_MILLIS));
                setups.add(new Setup(members, peers, child));
                peers.sendAllMembers();
                MemberProcess.awaitKnowsAll(child, KNOWS_ALL_TIMEOUT_SECONDS);
                log.add(new Point(members, child.log().length() / 1e6));
                if (members == sizes.get(sizes.size() - 1)) {
                    newcomerCpu.add(new Point(members, child.counters().cpuNanos() / 1e6));
                    long bytesBefore = peers.bytes.get();
                    Thread.sleep(NEWCOMER_MILLIS / 2);
                    newcomer.add(new Point(members, (peers.bytes.get() - bytesBefore) * 2e3 / NEWCOMER_MILLIS));
                }
            }
            Thread.sleep(NEWCOMER_MILLIS);
            List<ProcessCounters> before = new ArrayList<>();
            long[] bytesAtStart = setups.stream()
                    .mapToLong(setup -> setup.peers().bytes.get())
                    .toArray();
            for (Setup setup : setups) {
                before.add(setup.child().counters());
            }
            Thread.sleep(2 * NEWCOMER_MILLIS);
            for (int i = 0; i < bytesAtStart.length; i++) {
                Setup setup = setups.get(i);
                ProcessCounters now = setup.child().counters();
                idleCpu.add(new Point(setup.members(), 100 * now.coresSince(before.get(i))));
                bytes.add(new Point(
                        setup.members(),
                        (setup.peers().bytes.get() - bytesAtStart[i])
                                / ((now.readAtNanos() - before.get(i).readAtNanos()) / 1e9)));
                resident.add(new Point(setup.members(), now.residentKb() / 1024.0));
            }
        } finally {
            for (Setup setup : setups) {
                setup.child().close();
                setup.peers().close();
            }
        }
        report.slope("members.real_cpu_percent", "% of a core", "members", TARGET, 2 * Report.TIMED, idleCpu);
        // The value is the same at all sizes except for noise: on a shared machine, members suspect some others.
        bytes.forEach(point -> report.figure("members.real_bytes_s_" + (int) point.size(), point.value()));
        double median = bytes.stream()
                .mapToDouble(Point::value)
                .sorted()
                .skip(bytes.size() / 2)
                .findFirst()
                .orElseThrow();
        report.atMost(
                "members.real_bytes_by_members", bytes.get(bytes.size() - 1).value() / median, 3);
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
