package beaconladder.testbed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.IntUnaryOperator;

/** Checks a scenario from what clients and hosts recorded; routers and the coordinator are not queried. */
final class InvariantChecker {
    /** How a transaction ended for its client. */
    enum End {
        COMMITTED,
        DECLINED,
        ROLLED_BACK,
        ERROR,
        NONE,
        CUT
    }

    /**
     * A transaction as its client saw it. Times are Unix milliseconds.
     *
     * @param version the version written or read; -1 without an answer
     * @param minVersion the oldest version that a read may return
     * @param minVersionBy the transaction that wrote {@code minVersion}
     * @param maxVersion the newest version of which a write was ever sent
     * @param budgetMillis how long the client waits
     * @param excused whether its router was killed, paused or terminated meanwhile
     * @param extra whether further data followed its answer
     */
    record Asked(
            String id,
            String tenant,
            String key,
            String type,
            int cell,
            int router,
            long sentMillis,
            long answeredMillis,
            int budgetMillis,
            End end,
            long version,
            long minVersion,
            String minVersionBy,
            long maxVersion,
            boolean excused,
            boolean extra,
            String message) {
        boolean write() {
            return type.equals("write") || type.equals("token");
        }
    }

    /** A rule that was violated, how often, and one example. */
    record Violation(String rule, int times, String example) {}

    /** Tolerated lateness of an answer, for scheduling delays of a busy machine. */
    private static final long MAX_LATENESS_MILLIS = 100;
    /** How long after discovery announced a drain new work may still reach the host. */
    private static final long DRAIN_GRACE_MILLIS = 2_000;

    /** Prefix of the names of tenants that the plan does not list, whose keys are spread over cells. */
    static final String SPREAD_TENANT_PREFIX = "other";

    /** Interval of the timer that measures scheduling delays; a far later tick shows an overloaded machine. */
    private static final long TICK_MILLIS = 10;

    private static final long MAX_TICK_DELAY_MILLIS = 60;

    final Queue<Asked> asked = new ConcurrentLinkedQueue<>();
    /** Intervals in which this process itself was delayed; late answers in them do not count as violations. */
    private final Queue<long[]> delayedIntervals = new ConcurrentLinkedQueue<>();

    InvariantChecker() {
        StandInThreads.spawn(() -> {
            long lastMillis = System.currentTimeMillis();
            while (true) {
                StandInThreads.sleep(TICK_MILLIS);
                long nowMillis = System.currentTimeMillis();
                if (nowMillis - lastMillis > TICK_MILLIS + MAX_TICK_DELAY_MILLIS) {
                    delayedIntervals.add(new long[] {lastMillis, nowMillis});
                }
                lastMillis = nowMillis;
            }
        });
    }

    /** Returns for how long this process was delayed by an overloaded machine, in milliseconds. */
    long delayedMillis() {
        return delayedIntervals.stream().mapToLong(b -> b[1] - b[0]).sum();
    }

    private boolean wasMachineDelayed(Asked txn) {
        return delayedIntervals.stream().anyMatch(b -> b[1] >= txn.sentMillis() && b[0] <= txn.answeredMillis());
    }

    /** Returns each violated rule. */
    List<Violation> findViolations(HostFleet fleet, IntUnaryOperator cellOfGroup) {
        Map<String, List<String>> found = new LinkedHashMap<>();
        Map<String, List<HostFleet.Ran>> runs = new HashMap<>();
        fleet.ran.forEach(r -> {
            if (r.write()) {
                runs.computeIfAbsent(r.id(), id -> new ArrayList<>()).add(r);
            }
        });
        Map<String, Asked> unconfirmed = new HashMap<>();
        asked.forEach(t -> {
            if (t.write() && (t.end() == End.NONE || t.end() == End.CUT || t.end() == End.ROLLED_BACK)) {
                unconfirmed.put(t.tenant() + "/" + t.key() + "/" + t.version(), t);
            }
        });
        Set<String> reached = new HashSet<>();
        fleet.reached.forEach(r -> reached.add(r.id()));
        for (Asked txn : asked) {
            if (txn.extra()) {
                addExample(found, "more than one answer", txn.toString());
            }
            if (txn.end() == End.NONE && !txn.excused() && !wasMachineDelayed(txn)) {
                addExample(found, "no answer in time", txn.toString());
            }
            // One that reached no host was sent while the router closed the idle connection, and was not accepted.
            if (txn.end() == End.CUT && !txn.excused() && reached.contains(txn.id())) {
                addExample(found, "the connection was ended with a txn in hand", txn.toString());
            }
            if (txn.answeredMillis() - txn.sentMillis() > txn.budgetMillis() + MAX_LATENESS_MILLIS
                    && !txn.excused()
                    && !wasMachineDelayed(txn)) {
                addExample(found, "an answer after the expiry", txn.toString());
            }
            // A write that the group's own failover dropped is not a fault of a router.
            if (txn.end() == End.COMMITTED
                    && !txn.write()
                    && txn.version() < txn.minVersion()
                    && !fleet.dropped.contains(txn.minVersionBy())
                    && !isNewerUnconfirmedWrite(txn, unconfirmed, runs)) {
                addExample(
                        found,
                        "a stale read",
                        txn + " ran "
                                + fleet.ran.stream()
                                        .filter(r -> r.id().equals(txn.id()) || r.id().equals(txn.minVersionBy()))
                                        .toList());
            }
            if (txn.end() == End.COMMITTED && !txn.write() && txn.version() > txn.maxVersion()) {
                addExample(found, "a value that nobody wrote", txn.toString());
            }
            if (txn.write()) {
                checkWrite(txn, runs.getOrDefault(txn.id(), List.of()), found);
            }
        }
        checkCells(fleet, cellOfGroup, found);
        checkDrains(fleet, found);
        checkLostWrites(fleet, found);
        List<Violation> violations = new ArrayList<>();
        found.forEach((rule, examples) -> violations.add(new Violation(rule, examples.size(), examples.get(0))));
        return violations;
    }

    /** Whether the version read is of a write without a known outcome that ran after the expected write. */
    private static boolean isNewerUnconfirmedWrite(
            Asked read, Map<String, Asked> unconfirmed, Map<String, List<HostFleet.Ran>> runs) {
        Asked late = unconfirmed.get(read.tenant() + "/" + read.key() + "/" + read.version());
        List<HostFleet.Ran> missed = runs.get(read.minVersionBy());
        return late != null
                && missed != null
                && runs.getOrDefault(late.id(), List.of()).stream()
                        .anyMatch(run -> run.at() >= missed.get(0).at());
    }

    private static void checkWrite(Asked txn, List<HostFleet.Ran> runs, Map<String, List<String>> found) {
        if (txn.type().equals("write") && runs.size() > 1) {
            addExample(found, "a once-only txn ran twice", txn + " ran " + runs);
        }
        if (txn.end() == End.DECLINED && !runs.isEmpty()) {
            addExample(found, "a declined txn ran", txn + " ran " + runs);
        }
        if (txn.end() == End.COMMITTED && runs.isEmpty()) {
            addExample(found, "a committed txn never ran", txn.toString());
        }
        if (runs.stream().map(HostFleet.Ran::group).distinct().count() > 1) {
            addExample(found, "a txn ran in two groups", txn + " ran " + runs);
        }
    }

    /** Returns the unit that is placed in one cell at a time: a tenant, or a key of a tenant with spread keys. */
    private static String placedUnit(String tenant, String key) {
        return tenant.startsWith(SPREAD_TENANT_PREFIX) ? tenant + "/" + key : tenant;
    }

    /** Checks that no write runs in a cell that the tenant has left; no scenario moves a tenant back. */
    private static void checkCells(HostFleet fleet, IntUnaryOperator cellOfGroup, Map<String, List<String>> found) {
        Map<String, List<HostFleet.Ran>> writes = new HashMap<>();
        fleet.ran.forEach(r -> {
            if (r.write()) {
                writes.computeIfAbsent(placedUnit(r.tenant(), r.key()), t -> new ArrayList<>())
                        .add(r);
            }
        });
        writes.forEach((tenant, all) -> {
            all.sort((a, b) -> Long.compare(a.at(), b.at()));
            Set<Integer> leftCells = new HashSet<>();
            int cell = -1;
            for (HostFleet.Ran run : all) {
                int runCell = cellOfGroup.applyAsInt(run.group());
                if (runCell != cell && cell >= 0) {
                    leftCells.add(cell);
                }
                if (leftCells.contains(runCell)) {
                    addExample(found, "a write in the wrong cell", run.toString());
                }
                cell = runCell;
            }
        });
    }

    private static void checkDrains(HostFleet fleet, Map<String, List<String>> found) {
        for (HostFleet.Reached reached : fleet.reached) {
            Long drainStartMillis = fleet.draining.get(reached.host());
            if (drainStartMillis != null && reached.at() > drainStartMillis + DRAIN_GRACE_MILLIS) {
                addExample(found, "new work at a draining host", reached.toString());
            }
        }
    }

    /** Checks that each committed write not dropped by a failover is present where its tenant's writes ran last. */
    private void checkLostWrites(HostFleet fleet, Map<String, List<String>> found) {
        Map<String, Integer> lastGroup = new HashMap<>();
        Map<String, Long> lastRunMillis = new HashMap<>();
        for (HostFleet.Ran run : fleet.ran) {
            String unit = placedUnit(run.tenant(), run.key());
            if (run.write() && run.at() >= lastRunMillis.getOrDefault(unit, Long.MIN_VALUE)) {
                lastRunMillis.put(unit, run.at());
                lastGroup.put(unit, run.group());
            }
        }
        Map<String, Asked> newest = new HashMap<>();
        for (Asked txn : asked) {
            if (txn.write() && txn.end() == End.COMMITTED && !fleet.dropped.contains(txn.id())) {
                newest.merge(txn.tenant() + "/" + txn.key(), txn, (a, b) -> a.version() > b.version() ? a : b);
            }
        }
        newest.values().forEach(txn -> {
            Integer group = lastGroup.get(placedUnit(txn.tenant(), txn.key()));
            ReplicatedHost primary = group == null ? null : fleet.primary(group);
            if (primary != null && primary.alive() && primary.version(txn.tenant(), txn.key()) < txn.version()) {
                addExample(
                        found,
                        "a committed write is lost",
                        txn + "; " + primary.id + " has " + primary.version(txn.tenant(), txn.key()));
            }
        });
    }

    private static void addExample(Map<String, List<String>> found, String rule, String example) {
        found.computeIfAbsent(rule, r -> new ArrayList<>()).add(example);
    }

    /** Returns the share of the transactions sent to these cells in an interval that committed; 1 without any. */
    double servedShare(long fromMillis, long toMillis, boolean... ofCell) {
        long all = 0;
        long served = 0;
        for (Asked txn : asked) {
            if (txn.sentMillis() >= fromMillis && txn.sentMillis() < toMillis && ofCell[txn.cell()]) {
                all++;
                served += txn.end() == End.COMMITTED ? 1 : 0;
            }
        }
        return all == 0 ? 1 : (double) served / all;
    }

    /** Returns a quantile of the latency of committed transactions, in milliseconds; 0 without any. */
    long quantile(double share, long fromMillis, long toMillis, boolean... ofCell) {
        long[] times = asked.stream()
                .filter(t -> t.end() == End.COMMITTED
                        && t.sentMillis() >= fromMillis
                        && t.sentMillis() < toMillis
                        && ofCell[t.cell()])
                .mapToLong(t -> t.answeredMillis() - t.sentMillis())
                .sorted()
                .toArray();
        return times.length == 0 ? 0 : times[(int) Math.min(times.length - 1, share * times.length)];
    }

    static boolean[] allCells(int cells) {
        boolean[] all = new boolean[cells];
        Arrays.fill(all, true);
        return all;
    }
}
