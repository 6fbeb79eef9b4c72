package beaconladder.lab.scale;

import beaconladder.Logic;
import beaconladder.api.Rounds;
import beaconladder.api.Router;
import beaconladder.api.Router.Outcome;
import beaconladder.api.Router.Word;
import beaconladder.fleet.Group;
import beaconladder.fleet.Host;
import beaconladder.fleet.Submission;
import beaconladder.fleet.Txn;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongFunction;

/**
 * One hollow router in virtual time: the real module and its real rounds, as behind the desk (a look after
 * each event), before hollow hosts. There are no sockets, clients, threads or lock.
 */
final class PositionsRouter implements Rounds.Door {
    static final long MS = PositionsHosts.MS;
    /** Statements a second at one router, the users' figure. */
    static final double RATE = 902;
    /** Statements a second at one host of the users' fleet, of all routers. */
    private static final double HOST_RATE = 638;
    static final int BOUNDED = 0;
    static final int SESSION = 1;
    static final int ANY = 2;
    static final int WRITE = 3;
    /** Up to which share of the txns each type goes: a quarter writes, reads as on valpo-despacho-later. */
    static final List<Double> MIXED = List.of(0.38, 0.57, 0.75, 1.0);
    /** A quarter writes, and reads of any data: the module is asked the same however old its record is. */
    static final List<Double> PLAIN = List.of(0.0, 0.0, 0.75, 1.0);
    /** Of session's reads, how many follow a write of their session, and how long after it: same page. */
    private static final double FOLLOWS = 0.76;
    private static final long[] GAP = {130 * MS, 630 * MS};
    /** So that positions before the start exist. */
    private static final long ZERO = 100_000 * MS;
    /** As the desk's timer rests between two looks. */
    private static final long REST = MS;

    /** Sees what the router does. */
    interface Watcher {
        /** A txn has come in, and the module has not been asked yet. */
        void came(Txn txn, long now);

        void sent(Submission s, long now);

        void probed(Host host, long now);

        /** A call to this host is over, and its connection free. */
        void free(Host host, long now);

        void close(Host host, long now);

        void ended(Txn txn, long now);
    }

    private record Event(long at, long number, Runnable run) {
    }

    final List<Host> hosts = new ArrayList<>();
    private final List<Group> groups = new ArrayList<>();
    private final PositionsHosts truth;
    private final SplittableRandom chance;
    private final List<Double> upTo;
    private final Watcher watcher;
    private final Router logic;
    private final Rounds rounds;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long now = ZERO;
    private long until = Long.MAX_VALUE;
    private long numbered;
    private long taken;

    /** Its watcher is told how long a connection may be idle and still be used. */
    PositionsRouter(PositionsHosts truth, SplittableRandom chance, List<Double> upTo,
            LongFunction<Watcher> watcher) {
        this.upTo = upTo;
        this.truth = truth;
        this.chance = chance;
        logic = new Logic(chance.nextLong(), settings(routers(truth.count())));
        rounds = new Rounds(logic, this);
        this.watcher = watcher.apply(logic.keepIdle());
        for (int i = 0; i < truth.count(); i++) {
            if (PositionsHosts.isPrimary(i)) {
                groups.add(new Group(groups.size()));
            }
            Host host = new Host(i, groups.get(groups.size() - 1), i % PositionsHosts.MEMBERS);
            hosts.add(host);
            logic.listed(host, PositionsHosts.isPrimary(i), Host.State.READY, 0, now);
        }
        until = rounds.settle(now);
        at(now, this::comes);
    }

    /** How many routers give each of these hosts the users' rate: 4,102 before 5,799 hosts. */
    static int routers(int hosts) {
        return (int) Math.max(1, Math.round(HOST_RATE * hosts / RATE));
    }

    /** What the router is told at start, as valpo-despacho-later tells it, but for the number of routers. */
    private static Map<String, String> settings(int routers) {
        Map<String, String> start = new LinkedHashMap<>();
        start.put("family_info.freshness", "recent,own_writes,loose,update");
        start.put("family_info.oldest_data_us", "500000,0,0,0");
        start.put("family_info.session_marks", "client");
        start.put("request_classes.count", "4");
        String[][] types = {{"pure", "800000", "2000000", "1", "0"},
            {"pure", "750000", "3000000", "1", "0.2"}, {"pure", "800000", "2500000", "2", "0.2"},
            {"side_effect", "1000000", "3000000", "3", "0.7"}};
        String[] names = {"effect", "goal_time_us", "give_up_us", "points", "late_share"};
        for (int i = 0; i < types.length; i++) {
            for (int j = 0; j < names.length; j++) {
                start.put("request_classes." + i + "." + names[j], types[i][j]);
            }
        }
        start.put("fees.probe", "0.069");
        start.put("goal.whole", "0.45");
        start.put("goal.worst_class", "0.2");
        start.put("limits.max_attempts", "10");
        start.put("limits.second_copies", "true");
        start.put("limits.cancel", "true");
        start.put("limits.probes", "true");
        start.put("limits.conn_idle_us", "15000000");
        start.put("rules.warm_within_us", "18000000");
        start.put("rules.cold_share", "0.2");
        start.put("rules.fall_us", "1000000");
        start.put("rules.fall_multiple", "3");
        start.put("replicas_of_me", String.valueOf(routers));
        start.put("round_us", "5000");
        start.put("my_zone", "0");
        return start;
    }

    long now() {
        return now;
    }

    /** Plays until so many txns in all have come in. */
    void play(long txns) {
        while (taken < txns) {
            long next = events.peek().at();
            if (until <= next) {
                now = Math.max(now, until);
                // The desk's timer rests a while, so that it can't spin.
                until = Math.max(rounds.settle(now), now + REST);
            } else {
                now = next;
                events.poll().run().run();
                until = Math.max(rounds.settle(now), now + REST);
            }
        }
    }

    private void at(long moment, Runnable run) {
        events.add(new Event(moment, numbered++, run));
    }

    private void comes() {
        at(now + (long) (1e9 / RATE * -StrictMath.log(1 - chance.nextDouble())), this::comes);
        double kind = chance.nextDouble();
        int type = 0;
        while (kind >= upTo.get(type)) {
            type++;
        }
        long written = type == SESSION && chance.nextDouble() < FOLLOWS
                ? now - chance.nextLong(GAP[0], GAP[1]) : Word.NONE;
        Txn txn = new Txn(taken, logic.type(type), groups.get(chance.nextInt(groups.size())), 0, written, 0,
                false, now, now + logic.type(type).expiry(), taken++);
        watcher.came(txn, now);
        rounds.act(txn, logic.place(txn, now), now);
    }

    private void over(Submission s, Outcome outcome) {
        if (s.ended) {
            return;
        }
        watcher.free(s.host, now);
        boolean answered = outcome == Outcome.COMMITTED;
        rounds.act(s.txn, logic.after(s, outcome, s.txn.ended || answered,
                answered ? truth.answer(s.host.id, now) : Word.SILENT,
                answered ? truth.report(s.host.id, now) : Word.SILENT, now), now);
    }

    @Override
    public void send(Submission s, long timeout) {
        watcher.sent(s, now);
        long work = truth.work();
        at(now + Math.min(work, timeout),
                () -> over(s, work <= timeout ? Outcome.COMMITTED : Outcome.TIMED_OUT));
    }

    @Override
    public void cancel(Submission s) {
        at(now, () -> over(s, Outcome.CANCELLED));
    }

    @Override
    public void probe(Host host) {
        watcher.probed(host, now);
        at(now + truth.probe(), () -> {
            watcher.free(host, now);
            logic.probed(host, Outcome.COMMITTED, truth.report(host.id, now), now);
        });
    }

    @Override
    public void close(Host host) {
        watcher.close(host, now);
    }

    @Override
    public void decline(Txn txn, long comeBack) {
    }

    @Override
    public void rollBack(Txn txn) {
    }

    @Override
    public void ended(Txn txn) {
        watcher.ended(txn, now);
    }
}
