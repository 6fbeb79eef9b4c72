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
 * Measures leases. Real: three lease server processes with their log on disk. Simulated: the clients, each with the
 * real state machine, a thread and connections of its own, and no task to run. The lease table alone is measured by the
 * number of tasks.
 */
final class LeasesPart implements Part {
    private static final int TARGET_CLIENTS = 4_100;
    private static final int TASKS = 64;
    private static final int TASKS_AT_ONCE = 16;
    private static final List<Integer> TASK_COUNTS = List.of(1, 4, 16, 32, 64);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TIMEOUT_MILLIS = 30_000;
    /** Answers count as resumed this long after the leader was killed, and after this many further answers. */
    private static final long SETTLE_MILLIS = 500;

    private static final long RECOVERY_ANSWERS = 100;

    @Override
    public String sizeUnit() {
        return "askers";
    }

    @Override
    public List<Integer> sizes(boolean small) {
        return small ? List.of(16, 32, 64, 96, 128) : List.of(100, 250, 500, 1_000, 2_000, 4_100);
    }

    @Override
    public long estimatedMemoryBytes(List<Integer> sizes) {
        return 2_500_000_000L + 2_000 * sizes.stream().mapToLong(n -> n).max().orElse(0);
    }

    @Override
    public void measure(List<Integer> sizes, boolean small, SplittableRandom random, Path folder, Report report)
            throws IOException, InterruptedException {
        measureTable(small, report);
        if (!small) {
            measureServers(sizes, folder, report);
        }
    }

    private static void measureTable(boolean small, Report report) {
        renewalMicros(TASK_COUNTS.get(0), small);
        List<Point> cost = TASK_COUNTS.stream()
                .map(tasks -> new Point(tasks, renewalMicros(tasks, small)))
                .toList();
        // Each change copies all leases, so the cost grows faster than linearly; a fitted line would hide that.
        cost.forEach(point -> report.figure("leases.apply_us_" + (int) point.size(), point.value()));
        report.atMost("leases.apply_by_tasks", cost.get(4).value() / cost.get(2).value(), 10);
    }

    /** Returns the microseconds for a renewal among so many tasks, the minimum of several rounds. */
    private static double renewalMicros(int tasks, boolean small) {
        LeaseTable grants = LeaseTable.empty();
        int rounds = small ? 2_000 : 20_000;
        double minimum = Double.MAX_VALUE;
        long stamp = 0;
        for (int round = 0; round < 6; round++) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < rounds; i++) {
                LeaseRequest request = new LeaseRequest(
                        LeaseRequest.Kind.ACQUIRE, "task" + i % tasks, "a" + i % tasks + "#1", i, 0, 1_000, "");
                grants = grants.apply(request, ++stamp, 1).next();
            }
            minimum = Math.min(minimum, (System.nanoTime() - startNanos) / 1e3 / rounds);
        }
        return minimum;
    }

    private static void measureServers(List<Integer> sizes, Path folder, Report report)
            throws IOException, InterruptedException {
        try (LeaseServers servers = new LeaseServers(folder)) {
            List<Point> rate = new ArrayList<>();
            List<Point> leading = new ArrayList<>();
            List<Point> following = new ArrayList<>();
            // The first run is not counted: it lets code be compiled.
            run(servers, sizes.get(2), TASKS_AT_ONCE, "warm", report);
            for (int count : sizes) {
                Run run = run(servers, count, TASKS_AT_ONCE, "n" + count, report);
                rate.add(new Point(count, run.rate()));
                leading.add(new Point(count, run.leader()));
                following.add(new Point(count, run.follower()));
            }
            report.slope("leases.asks_s", "asks answered a second", "askers", TARGET_CLIENTS, 2 * Report.TIMED, rate);
            report.slope(
                    "leases.leader_cpu_percent", "% of a core", "askers", TARGET_CLIENTS, 2 * Report.TIMED, leading);
            report.slope(
                    "leases.follower_cpu_percent",
                    "% of a core",
                    "askers",
                    TARGET_CLIENTS,
                    2 * Report.TIMED,
                    following);
            for (int tasks : List.of(1, 64)) {
                run(servers, 10 * TASKS, tasks, "t" + tasks, report);
            }
            killLeader(servers, sizes.get(sizes.size() - 1), report);
            ProcessCounters now =
                    servers.child(Math.max(0, servers.awaitLeader())).counters();
            report.figure("leases.grantor_resident_mb", now.residentKb() / 1024.0);
            report.figure("leases.grantor_threads", now.threads());
        }
    }

    /** Requests per second, and the percentages of a core that the leader and a follower use. */
    private record Run(double rate, double leader, double follower) {}

    private static Run run(LeaseServers servers, int clientCount, int tasks, String name, Report report)
            throws IOException, InterruptedException {
        try (SimulatedLeaseClients clients = new SimulatedLeaseClients(clientCount, tasks, name, servers.addresses())) {
            long allHeldMillis = awaitAllHeld(clients, tasks);
            // The initial burst is over, and clients that were refused ask again at the times they were given.
            Thread.sleep(LeaseServers.LEASE_MILLIS);
            int leader = servers.awaitLeader();
            if (leader < 0) {
                report.print(String.format(
                        Locale.ROOT,
                        "  %d clients of %d tasks: all held after %d ms, then no"
                                + " lease server names a leader; %d answered, %d not; last log line of one: %s",
                        clientCount,
                        tasks,
                        allHeldMillis,
                        clients.answered(),
                        clients.unanswered(),
                        servers.child(0).lastLine()));
                return new Run(0, 0, 0);
            }
            int follower = (leader + 1) % 3;
            ProcessCounters leaderBefore = servers.child(leader).counters();
            ProcessCounters followerBefore = servers.child(follower).counters();
            long answered = clients.answered();
            Thread.sleep(LeaseServers.LEASE_MILLIS);
            ProcessCounters leaderNow = servers.child(leader).counters();
            Run run = new Run(
                    (clients.answered() - answered) / ((leaderNow.readAtNanos() - leaderBefore.readAtNanos()) / 1e9),
                    100 * leaderNow.coresSince(leaderBefore),
                    100 * servers.child(follower).counters().coresSince(followerBefore));
            report.print(String.format(
                    Locale.ROOT,
                    "  %d clients of %d tasks: all held after %d ms, then"
                            + " %.0f requests per second, leader %.1f%%, follower %.1f%% of a core, answers after"
                            + " %.1f ms (half), %.1f ms (99%%), %d unanswered",
                    clientCount,
                    tasks,
                    allHeldMillis,
                    run.rate(),
                    run.leader(),
                    run.follower(),
                    clients.times().getValueAtPercentile(50) / 1e3,
                    clients.times().getValueAtPercentile(99) / 1e3,
                    clients.unanswered()));
            return run;
        }
    }

    private static void killLeader(LeaseServers servers, int clientCount, Report report)
            throws IOException, InterruptedException {
        try (SimulatedLeaseClients clients =
                new SimulatedLeaseClients(clientCount, TASKS, "ends", servers.addresses())) {
            awaitAllHeld(clients, TASKS);
            Thread.sleep(LeaseServers.LEASE_MILLIS);
            int leader = servers.awaitLeader();
            report.atMost("leases.no_leader_is_told_of", leader < 0 ? 1 : 0, 0);
            if (leader < 0) {
                return;
            }
            long unansweredBefore = clients.unanswered();
            clients.times().reset();
            long startNanos = System.nanoTime();
            servers.child(leader).close();
            long fewestHeld = TASKS;
            long answersBefore = clients.answered();
            long answersAgainMillis = 0;
            long heldAgainMillis = 0;
            long elapsedMillis = 0;
            while (elapsedMillis < 2 * LeaseServers.LEASE_MILLIS
                    || fewestHeld < TASKS && heldAgainMillis == 0 && elapsedMillis < TIMEOUT_MILLIS) {
                Thread.sleep(20);
                int held = clients.heldTasks();
                fewestHeld = Math.min(fewestHeld, held);
                elapsedMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
                answersAgainMillis = answersAgainMillis == 0
                                && elapsedMillis > SETTLE_MILLIS
                                && clients.answered() > answersBefore + RECOVERY_ANSWERS
                        ? elapsedMillis
                        : answersAgainMillis;
                heldAgainMillis = fewestHeld < TASKS && held == TASKS && heldAgainMillis == 0
                        ? elapsedMillis
                        : held < TASKS ? 0 : heldAgainMillis;
            }
            report.figure("leases.leader_ends_answers_again_ms", answersAgainMillis);
            report.figure("leases.leader_ends_tasks_held_at_least", fewestHeld);
            report.figure("leases.leader_ends_all_held_again_ms", heldAgainMillis);
            report.figure("leases.leader_ends_unanswered", clients.unanswered() - unansweredBefore);
            report.times("leases.leader_ends_answer_us", clients.times());
        }
    }

    /** Returns the milliseconds until all tasks are held. */
    private static long awaitAllHeld(SimulatedLeaseClients clients, int tasks) throws InterruptedException {
        long startNanos = System.nanoTime();
        while (clients.heldTasks() < tasks && (System.nanoTime() - startNanos) / NANOS_PER_MILLI < TIMEOUT_MILLIS) {
            Thread.sleep(5);
        }
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
}
