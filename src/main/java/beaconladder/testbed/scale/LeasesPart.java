package beaconladder.testbed.scale;

import beaconladder.lease.LeaseRequest;
import beaconladder.lease.LeaseTable;
import beaconladder.testbed.scale.Slope.Point;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Leases. Real: three grantor processes with their log on disk. Hollow: those who ask, with the real state machine, a
 * thread and connections each, and no task behind it. The pure part by the number of tasks.
 */
final class LeasesPart implements Part {
    private static final int ASKERS = 4_100;
    private static final int TASKS = 64;
    private static final int TASKS_AT_ONCE = 16;
    private static final List<Integer> TASK_COUNTS = List.of(1, 4, 16, 32, 64);
    private static final long MS = 1_000_000;
    private static final long PATIENCE_MILLIS = 30_000;

    @Override
    public String of() {
        return "askers";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(16, 32, 64, 96, 128) : List.of(100, 250, 500, 1_000, 2_000, 4_100);
    }

    @Override
    public long bytes(List<Integer> sizes) {
        return 2_500_000_000L + 2_000 * sizes.stream().mapToLong(n -> n).max().orElse(0);
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom chance, Path folder, Report report)
            throws IOException, InterruptedException {
        pure(small, report);
        if (!small) {
            real(sizes, folder, report);
        }
    }

    private static void pure(boolean small, Report report) {
        apply(TASK_COUNTS.get(0), small);
        List<Point> cost = TASK_COUNTS.stream()
                .map(tasks -> new Point(tasks, apply(tasks, small)))
                .toList();
        // It copies all leases, by which it bends up; a line would hide that.
        cost.forEach(point -> report.figure("leases.apply_us_" + (int) point.size(), point.value()));
        report.atMost("leases.apply_by_tasks", cost.get(4).value() / cost.get(2).value(), 10);
    }

    /** Microseconds for a renewal among so many tasks; the least of some rounds. */
    private static double apply(int tasks, boolean small) {
        LeaseTable grants = LeaseTable.empty();
        int rounds = small ? 2_000 : 20_000;
        double least = Double.MAX_VALUE;
        long stamp = 0;
        for (int round = 0; round < 6; round++) {
            long from = System.nanoTime();
            for (int i = 0; i < rounds; i++) {
                LeaseRequest ask = new LeaseRequest(
                        LeaseRequest.Kind.ACQUIRE, "task" + i % tasks, "a" + i % tasks + "#1", i, 0, 1_000, "");
                grants = grants.apply(ask, ++stamp, 1).next();
            }
            least = Math.min(least, (System.nanoTime() - from) / 1e3 / rounds);
        }
        return least;
    }

    private static void real(List<Integer> sizes, Path folder, Report report) throws IOException, InterruptedException {
        try (LeaseServers grantors = new LeaseServers(folder)) {
            List<Point> rate = new ArrayList<>();
            List<Point> leading = new ArrayList<>();
            List<Point> following = new ArrayList<>();
            // Once without being counted: compiled code finds its place.
            run(grantors, sizes.get(2), TASKS_AT_ONCE, "warm", report);
            for (int count : sizes) {
                Run run = run(grantors, count, TASKS_AT_ONCE, "n" + count, report);
                rate.add(new Point(count, run.rate()));
                leading.add(new Point(count, run.leader()));
                following.add(new Point(count, run.follower()));
            }
            report.slope("leases.asks_s", "asks answered a second", "askers", ASKERS, 2 * Report.TIMED, rate);
            report.slope("leases.leader_cpu_percent", "% of a core", "askers", ASKERS, 2 * Report.TIMED, leading);
            report.slope("leases.follower_cpu_percent", "% of a core", "askers", ASKERS, 2 * Report.TIMED, following);
            for (int tasks : List.of(1, 64)) {
                run(grantors, 10 * TASKS, tasks, "t" + tasks, report);
            }
            leaderEnds(grantors, sizes.get(sizes.size() - 1), report);
            ProcessCounters now = grantors.child(Math.max(0, grantors.awaitLeader())).counters();
            report.figure("leases.grantor_resident_mb", now.residentKb() / 1024.0);
            report.figure("leases.grantor_threads", now.threads());
        }
    }

    /** Asks a second, and the shares of a core of the leader and of one that follows. */
    private record Run(double rate, double leader, double follower) {}

    private static Run run(LeaseServers grantors, int askers, int tasks, String name, Report report)
            throws IOException, InterruptedException {
        try (SimulatedLeaseClients all = new SimulatedLeaseClients(askers, tasks, name, grantors.doors())) {
            long first = until(all, tasks);
            // The first storm is over, and those that were refused ask on as each is told.
            Thread.sleep(LeaseServers.LENGTH_MILLIS);
            int leader = grantors.awaitLeader();
            if (leader < 0) {
                report.say(String.format(
                        Locale.ROOT,
                        "  %d askers of %d tasks: all held after %d ms, then no"
                                + " grantor tells of a leader; %d answered, %d not; what one of them logged: %s",
                        askers,
                        tasks,
                        first,
                        all.answered(),
                        all.unanswered(),
                        grantors.child(0).lastLine()));
                return new Run(0, 0, 0);
            }
            int follower = (leader + 1) % 3;
            ProcessCounters lead = grantors.child(leader).counters();
            ProcessCounters follow = grantors.child(follower).counters();
            long answered = all.answered();
            Thread.sleep(LeaseServers.LENGTH_MILLIS);
            ProcessCounters leadNow = grantors.child(leader).counters();
            Run run = new Run(
                    (all.answered() - answered) / ((leadNow.at() - lead.at()) / 1e9),
                    100 * leadNow.cores(lead),
                    100 * grantors.child(follower).counters().cores(follow));
            report.say(String.format(
                    Locale.ROOT,
                    "  %d askers of %d tasks: all held after %d ms, then"
                            + " %.0f asks a second, leader %.1f%%, follower %.1f%% of a core, answers after"
                            + " %.1f ms (half), %.1f ms (99%%), %d unanswered",
                    askers,
                    tasks,
                    first,
                    run.rate(),
                    run.leader(),
                    run.follower(),
                    all.times().getValueAtPercentile(50) / 1e3,
                    all.times().getValueAtPercentile(99) / 1e3,
                    all.unanswered()));
            return run;
        }
    }

    private static void leaderEnds(LeaseServers grantors, int askers, Report report)
            throws IOException, InterruptedException {
        try (SimulatedLeaseClients all = new SimulatedLeaseClients(askers, TASKS, "ends", grantors.doors())) {
            until(all, TASKS);
            Thread.sleep(LeaseServers.LENGTH_MILLIS);
            int leader = grantors.awaitLeader();
            report.atMost("leases.no_leader_is_told_of", leader < 0 ? 1 : 0, 0);
            if (leader < 0) {
                return;
            }
            long unanswered = all.unanswered();
            all.times().reset();
            long from = System.nanoTime();
            grantors.child(leader).close();
            long least = TASKS;
            long answers = all.answered();
            long answeredAt = 0;
            long heldAt = 0;
            long now = 0;
            while (now < 2 * LeaseServers.LENGTH_MILLIS || least < TASKS && heldAt == 0 && now < PATIENCE_MILLIS) {
                Thread.sleep(20);
                int held = all.held();
                least = Math.min(least, held);
                now = (System.nanoTime() - from) / MS;
                answeredAt = answeredAt == 0 && now > 500 && all.answered() > answers + 100 ? now : answeredAt;
                heldAt = least < TASKS && held == TASKS && heldAt == 0 ? now : held < TASKS ? 0 : heldAt;
            }
            report.figure("leases.leader_ends_answers_again_ms", answeredAt);
            report.figure("leases.leader_ends_tasks_held_at_least", least);
            report.figure("leases.leader_ends_all_held_again_ms", heldAt);
            report.figure("leases.leader_ends_unanswered", all.unanswered() - unanswered);
            report.times("leases.leader_ends_answer_us", all.times());
        }
    }

    /** Milliseconds until all tasks are held. */
    private static long until(SimulatedLeaseClients all, int tasks) throws InterruptedException {
        long from = System.nanoTime();
        while (all.held() < tasks && (System.nanoTime() - from) / MS < PATIENCE_MILLIS) {
            Thread.sleep(5);
        }
        return (System.nanoTime() - from) / MS;
    }
}
