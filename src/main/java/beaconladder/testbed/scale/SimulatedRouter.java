package beaconladder.testbed.scale;

import beaconladder.routing.RoutingPolicy;
import beaconladder.routing.api.DecisionLoop;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongFunction;

/**
 * One hollow router in virtual time: the real module and its real rounds, as behind the desk (a look after each event),
 * before hollow hosts. There are no sockets, clients, threads or lock.
 */
final class SimulatedRouter implements DecisionLoop.ActionHandler {
    static final long MS = SimulatedHosts.MS;
    /** Statements a second at one router, the users' figure. */
    static final double RATE = 902;

    private static final int SESSION = 1;
    /** Up to which share of the txns each type goes: a quarter writes, reads as on valpo-despacho-later. */
    static final List<Double> MIXED = List.of(0.38, 0.57, 0.75, 1.0);
    /** A quarter writes, and reads of any data: the module is asked the same however old its record is. */
    static final List<Double> PLAIN = List.of(0.0, 0.0, 0.75, 1.0);
    /** Of session's reads, how many follow a write of their session, and how long after it: same page. */
    private static final double FOLLOWS = 0.76;

    private static final long[] GAP = {130 * MS, 630 * MS};
    /** So that positions before the start exist. */
    private static final long ZERO = 100_000 * MS;
    /** How long a connection is tried, and how late the list names what is lost, and who took over. */
    private static final long DIAL = 250 * MS;

    private static final long NOTICE = 8_000 * MS;
    private static final long ROLE_LAG = 3_000 * MS;
    /** As the desk's timer rests between two looks. */
    private static final long REST = MS;

    /** Sees what the router does. */
    interface Watcher {
        /** A txn has come in, and the module has not been asked yet. */
        default void came(Request txn, long now) {}

        default void sent(Attempt s, long now) {}

        default void answered(Request txn, long now) {}

        default void probed(Host host, long now) {}

        /** A call to this host is over, and its connection free. */
        default void free(Host host, long now) {}

        default void close(Host host, long now) {}

        /** It has had its final answer, whatever that is. */
        default void ended(Request txn, long now) {}
    }

    private record Event(long at, long number, Runnable run) {}

    final List<Host> hosts = new ArrayList<>();
    private final List<Group> groups = new ArrayList<>();
    private final SimulatedHosts truth;
    private final SplittableRandom chance;
    private final List<Double> upTo;
    private final Watcher watcher;
    private final Router logic;
    private final DecisionLoop rounds;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long now = ZERO;
    private long until = Long.MAX_VALUE;
    private long numbered;
    private long taken;

    /** Its watcher is told how long a connection may be idle and still be used. */
    SimulatedRouter(SimulatedHosts truth, SplittableRandom chance, List<Double> upTo, LongFunction<Watcher> watcher) {
        this.upTo = upTo;
        this.truth = truth;
        this.chance = chance;
        logic = new RoutingPolicy(chance.nextLong(), SimulatedRouterSettings.told(truth.count()));
        rounds = new DecisionLoop(logic, this);
        this.watcher = watcher.apply(logic.maxIdleNanos());
        for (int i = 0; i < truth.count(); i++) {
            if (SimulatedHosts.isPrimary(i)) {
                groups.add(new Group(groups.size()));
            }
            Host host = new Host(i, groups.get(groups.size() - 1), i % SimulatedHosts.MEMBERS);
            hosts.add(host);
            logic.updateHost(host, SimulatedHosts.isPrimary(i), Host.State.READY, 0, now);
        }
        until = rounds.processDue(now);
        at(now, this::comes);
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
                until = Math.max(rounds.processDue(now), now + REST);
            } else {
                now = next;
                events.poll().run().run();
                until = Math.max(rounds.processDue(now), now + REST);
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
                ? now - chance.nextLong(GAP[0], GAP[1])
                : HostReport.NO_POSITION;
        Request txn = new Request(
                taken,
                logic.requestClass(type),
                groups.get(chance.nextInt(groups.size())),
                0,
                written,
                0,
                false,
                now,
                now + logic.requestClass(type).timeoutNanos(),
                taken++);
        watcher.came(txn, now);
        rounds.execute(txn, logic.route(txn, now), now);
    }

    /** A ninth of the hosts is lost now; the list tells of it, and later on of the new primaries. */
    void lose() {
        truth.lose(now);
        at(
                now + NOTICE,
                () -> hosts.stream()
                        .filter(host -> truth.lostWith(host.id))
                        .forEach(host -> logic.updateHost(host, false, Host.State.GONE, 0, now)));
        at(
                now + SimulatedHosts.FAILOVER + ROLE_LAG,
                () -> hosts.stream()
                        .filter(host -> truth.leads(host.id, now) && !SimulatedHosts.isPrimary(host.id))
                        .forEach(host -> logic.updateHost(host, true, Host.State.READY, 0, now)));
    }

    private void over(Attempt s, Outcome outcome) {
        if (s.ended) {
            return;
        }
        watcher.free(s.host, now);
        if (outcome == Outcome.COMMITTED && !s.request.ended) {
            watcher.answered(s.request, now);
        }
        boolean spoke = outcome.isFromHost();
        rounds.execute(
                s.request,
                logic.onAttemptEnded(
                        s,
                        outcome,
                        s.request.ended || outcome == Outcome.COMMITTED,
                        spoke ? truth.answer(s.host.id, now) : HostReport.EMPTY,
                        spoke ? truth.report(s.host.id, now) : HostReport.EMPTY,
                        now),
                now);
    }

    @Override
    public void send(Attempt s, long timeout) {
        watcher.sent(s, now);
        long work = truth.work();
        int host = s.host.id;
        if (truth.down(host, now)) {
            at(now + Math.min(DIAL, timeout), () -> over(s, Outcome.UNREACHABLE));
            return;
        }
        Outcome outcome = s.request.requestClass.consistency().requiresPrimary() && !truth.leads(host, now)
                ? Outcome.MISS
                : Outcome.COMMITTED;
        at(now + Math.min(work, timeout), () -> {
            if (truth.down(host, now)) {
                // It was lost with the work in hand, and the connection falls silent.
                at(s.sentNanos + timeout, () -> over(s, Outcome.TIMED_OUT));
            } else {
                over(s, work <= timeout ? outcome : Outcome.TIMED_OUT);
            }
        });
    }

    @Override
    public void cancel(Attempt s) {
        at(now, () -> over(s, Outcome.CANCELLED));
    }

    @Override
    public void probe(Host host) {
        watcher.probed(host, now);
        boolean down = truth.down(host.id, now);
        at(now + (down ? DIAL : truth.probe()), () -> {
            watcher.free(host, now);
            logic.onHealthCheckEnded(
                    host,
                    down ? Outcome.UNREACHABLE : Outcome.COMMITTED,
                    down ? HostReport.EMPTY : truth.report(host.id, now),
                    now);
        });
    }

    @Override
    public void closeIdleConnections(Host host) {
        watcher.close(host, now);
    }

    @Override
    public void reject(Request txn, long comeBack, RoutingDecision.Reason reason) {}

    @Override
    public void rollBack(Request txn, RoutingDecision.Reason reason) {}

    @Override
    public void onRequestEnded(Request txn) {
        watcher.ended(txn, now);
    }
}
