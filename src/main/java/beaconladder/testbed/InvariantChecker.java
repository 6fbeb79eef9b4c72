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

/** Judges a scenario by what clients and hosts saw; the routers and the keeper are not asked. */
final class InvariantChecker {
    /** How a txn ended for its client. */
    enum End {
        COMMITTED,
        DECLINED,
        ROLLED_BACK,
        ERROR,
        NONE,
        CUT
    }

    /**
     * A txn as its client saw it.
     *
     * @param version written, or read; -1 without an answer
     * @param least the version that a read must at least show, and the txn that wrote it
     * @param most the newest version that was ever tried
     * @param budget how long the client waits, in milliseconds
     * @param excused whether its router was killed, stopped or ended meanwhile
     * @param extra whether more came behind its answer
     */
    record Asked(
            String id,
            String tenant,
            String key,
            String type,
            int cell,
            int router,
            long sent,
            long answered,
            int budget,
            End end,
            long version,
            long least,
            String leastBy,
            long most,
            boolean excused,
            boolean extra,
            String message) {
        boolean write() {
            return type.equals("write") || type.equals("token");
        }
    }

    /** A rule that was broken, with one example. */
    record Broken(String rule, int times, String example) {}

    /** An answer may be so late by the clocks of a busy machine. */
    private static final long LATE_MILLIS = 100;
    /** New work may reach a draining host so long after discovery told of it. */
    private static final long GRACE_MILLIS = 2_000;

    /** Tenants of such names are not stated: their keys are spread. */
    static final String SPREAD = "other";

    /** A look that was due every ten milliseconds and came much later tells of a machine that is too busy. */
    private static final long TICK_MILLIS = 10;

    private static final long BUSY_MILLIS = 60;

    final Queue<Asked> asked = new ConcurrentLinkedQueue<>();
    /** When this very program came late, with how much: what is late then is not held against a router. */
    private final Queue<long[]> busy = new ConcurrentLinkedQueue<>();

    InvariantChecker() {
        StandInThreads.spawn(() -> {
            long last = System.currentTimeMillis();
            while (true) {
                StandInThreads.sleep(TICK_MILLIS);
                long now = System.currentTimeMillis();
                if (now - last > TICK_MILLIS + BUSY_MILLIS) {
                    busy.add(new long[] {last, now});
                }
                last = now;
            }
        });
    }

    /** How long the machine was too busy for this program, in milliseconds. */
    long busyMillis() {
        return busy.stream().mapToLong(b -> b[1] - b[0]).sum();
    }

    private boolean machineBusy(Asked txn) {
        return busy.stream().anyMatch(b -> b[1] >= txn.sent() && b[0] <= txn.answered());
    }

    /** Every rule that was broken. */
    List<Broken> broken(HostFleet ground, IntUnaryOperator cellOfGroup) {
        Map<String, List<String>> found = new LinkedHashMap<>();
        Map<String, List<HostFleet.Ran>> runs = new HashMap<>();
        ground.ran.forEach(r -> {
            if (r.write()) {
                runs.computeIfAbsent(r.id(), id -> new ArrayList<>()).add(r);
            }
        });
        Map<String, Asked> unknown = new HashMap<>();
        asked.forEach(t -> {
            if (t.write() && (t.end() == End.NONE || t.end() == End.CUT || t.end() == End.ROLLED_BACK)) {
                unknown.put(t.tenant() + "/" + t.key() + "/" + t.version(), t);
            }
        });
        Set<String> reached = new HashSet<>();
        ground.reached.forEach(r -> reached.add(r.id()));
        for (Asked txn : asked) {
            if (txn.extra()) {
                add(found, "more than one answer", txn.toString());
            }
            if (txn.end() == End.NONE && !txn.excused() && !machineBusy(txn)) {
                add(found, "no answer in time", txn.toString());
            }
            // One that no host saw has crossed the end of an idle connection: it was not taken.
            if (txn.end() == End.CUT && !txn.excused() && reached.contains(txn.id())) {
                add(found, "the connection was ended with a txn in hand", txn.toString());
            }
            if (txn.answered() - txn.sent() > txn.budget() + LATE_MILLIS && !txn.excused() && !machineBusy(txn)) {
                add(found, "an answer after the expiry", txn.toString());
            }
            // What a group's own failover has dropped is its loss, and no router's.
            if (txn.end() == End.COMMITTED
                    && !txn.write()
                    && txn.version() < txn.least()
                    && !ground.dropped.contains(txn.leastBy())
                    && !overtaken(txn, unknown, runs)) {
                add(
                        found,
                        "a stale read",
                        txn + " ran "
                                + ground.ran.stream()
                                        .filter(r -> r.id().equals(txn.id()) || r.id().equals(txn.leastBy()))
                                        .toList());
            }
            if (txn.end() == End.COMMITTED && !txn.write() && txn.version() > txn.most()) {
                add(found, "a value that nobody wrote", txn.toString());
            }
            if (txn.write()) {
                judge(txn, runs.getOrDefault(txn.id(), List.of()), found);
            }
        }
        twoCells(ground, cellOfGroup, found);
        drains(ground, found);
        lost(ground, found);
        List<Broken> broken = new ArrayList<>();
        found.forEach((rule, examples) -> broken.add(new Broken(rule, examples.size(), examples.get(0))));
        return broken;
    }

    /** Whether what was read is a write whose client was never told, and that ran after the one that is missed. */
    private static boolean overtaken(Asked read, Map<String, Asked> unknown, Map<String, List<HostFleet.Ran>> runs) {
        Asked late = unknown.get(read.tenant() + "/" + read.key() + "/" + read.version());
        List<HostFleet.Ran> missed = runs.get(read.leastBy());
        return late != null
                && missed != null
                && runs.getOrDefault(late.id(), List.of()).stream()
                        .anyMatch(run -> run.at() >= missed.get(0).at());
    }

    private static void judge(Asked txn, List<HostFleet.Ran> runs, Map<String, List<String>> found) {
        if (txn.type().equals("write") && runs.size() > 1) {
            add(found, "a once-only txn ran twice", txn + " ran " + runs);
        }
        if (txn.end() == End.DECLINED && !runs.isEmpty()) {
            add(found, "a declined txn ran", txn + " ran " + runs);
        }
        if (txn.end() == End.COMMITTED && runs.isEmpty()) {
            add(found, "a committed txn never ran", txn.toString());
        }
        if (runs.stream().map(HostFleet.Ran::group).distinct().count() > 1) {
            add(found, "a txn ran in two groups", txn + " ran " + runs);
        }
    }

    /** What lives in one cell at a time: a tenant, or a key of one whose keys are spread. */
    private static String resident(String tenant, String key) {
        return tenant.startsWith(SPREAD) ? tenant + "/" + key : tenant;
    }

    /** Once a tenant's write has run in a cell, none runs in the cell before; no scenario moves a tenant back. */
    private static void twoCells(HostFleet ground, IntUnaryOperator cellOfGroup, Map<String, List<String>> found) {
        Map<String, List<HostFleet.Ran>> writes = new HashMap<>();
        ground.ran.forEach(r -> {
            if (r.write()) {
                writes.computeIfAbsent(resident(r.tenant(), r.key()), t -> new ArrayList<>())
                        .add(r);
            }
        });
        writes.forEach((tenant, all) -> {
            all.sort((a, b) -> Long.compare(a.at(), b.at()));
            Set<Integer> left = new HashSet<>();
            int cell = -1;
            for (HostFleet.Ran run : all) {
                int at = cellOfGroup.applyAsInt(run.group());
                if (at != cell && cell >= 0) {
                    left.add(cell);
                }
                if (left.contains(at)) {
                    add(found, "a write in the wrong cell", run.toString());
                }
                cell = at;
            }
        });
    }

    private static void drains(HostFleet ground, Map<String, List<String>> found) {
        for (HostFleet.Reached reached : ground.reached) {
            Long since = ground.draining.get(reached.host());
            if (since != null && reached.at() > since + GRACE_MILLIS) {
                add(found, "new work at a draining host", reached.toString());
            }
        }
    }

    /** Where each tenant's writes ran last, its committed writes are there, but for those a failover dropped. */
    private void lost(HostFleet ground, Map<String, List<String>> found) {
        Map<String, Integer> home = new HashMap<>();
        Map<String, Long> at = new HashMap<>();
        for (HostFleet.Ran run : ground.ran) {
            String of = resident(run.tenant(), run.key());
            if (run.write() && run.at() >= at.getOrDefault(of, Long.MIN_VALUE)) {
                at.put(of, run.at());
                home.put(of, run.group());
            }
        }
        Map<String, Asked> newest = new HashMap<>();
        for (Asked txn : asked) {
            if (txn.write() && txn.end() == End.COMMITTED && !ground.dropped.contains(txn.id())) {
                newest.merge(txn.tenant() + "/" + txn.key(), txn, (a, b) -> a.version() > b.version() ? a : b);
            }
        }
        newest.values().forEach(txn -> {
            Integer group = home.get(resident(txn.tenant(), txn.key()));
            ReplicatedHost primary = group == null ? null : ground.primary(group);
            if (primary != null && primary.alive() && primary.version(txn.tenant(), txn.key()) < txn.version()) {
                add(
                        found,
                        "a committed write is lost",
                        txn + "; " + primary.id + " has " + primary.version(txn.tenant(), txn.key()));
            }
        });
    }

    private static void add(Map<String, List<String>> found, String rule, String example) {
        found.computeIfAbsent(rule, r -> new ArrayList<>()).add(example);
    }

    /** The share of txns of these cells, asked in this time, that were served. */
    double service(long from, long to, boolean... ofCell) {
        long all = 0;
        long served = 0;
        for (Asked txn : asked) {
            if (txn.sent() >= from && txn.sent() < to && ofCell[txn.cell()]) {
                all++;
                served += txn.end() == End.COMMITTED ? 1 : 0;
            }
        }
        return all == 0 ? 1 : (double) served / all;
    }

    /** The time, in milliseconds, within which this share of the txns served had their answers. */
    long quantile(double share, long from, long to, boolean... ofCell) {
        long[] times = asked.stream()
                .filter(t -> t.end() == End.COMMITTED && t.sent() >= from && t.sent() < to && ofCell[t.cell()])
                .mapToLong(t -> t.answered() - t.sent())
                .sorted()
                .toArray();
        return times.length == 0 ? 0 : times[(int) Math.min(times.length - 1, share * times.length)];
    }

    static boolean[] all(int cells) {
        boolean[] all = new boolean[cells];
        Arrays.fill(all, true);
        return all;
    }
}
