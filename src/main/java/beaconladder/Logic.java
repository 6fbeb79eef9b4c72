package beaconladder;

import static beaconladder.fleet.Traffic.MS;

import beaconladder.api.Pause;
import beaconladder.api.Router;
import beaconladder.api.Router.Outcome;
import beaconladder.api.Router.Word;
import beaconladder.api.SendCheck;
import beaconladder.api.Verdict;
import beaconladder.fleet.Agenda;
import beaconladder.fleet.Host;
import beaconladder.fleet.SlowStartTicket;
import beaconladder.fleet.Submission;
import beaconladder.fleet.Traffic;
import beaconladder.fleet.Txn;
import beaconladder.fleet.TxnType;
import beaconladder.fleet.TxnType.Effect;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Every decision of one router, with the classes beside it; docs/design.md tells why it decides so.
 *
 * <p>How to call it, by {@link Router}: make one a router from the seed and the start-up settings, tell it of hosts
 * with {@link #listed}, ask {@link #place} for each txn that comes in, and do what the verdict says. A submission that
 * was sent is added to its txn and host; its end goes to {@link #after}. When all that is known at one time has been
 * told, ask {@link #pause}: probe the members it names, {@link #place} the txns it names, repeat until it names none,
 * and come back at its time or with the next news.
 */
public final class Logic implements Router {
    /** A lack on this machine meets all hosts alike, and ends within milliseconds or not soon. */
    private static final long LOCAL_FAULT_REST = 20 * MS;

    private final Agenda agenda = new Agenda();
    /** Hosts with connections that this router will hardly use again soon. */
    private final Set<Host> idle = new LinkedHashSet<>();

    private final Traffic traffic;
    private final Health health;
    private final SlowStart slowStart;
    private final Times times;
    private final Targets targets;
    private final Choice choice;
    private final Worth worth;
    private final Ends ends;
    private final Probing probing;
    private final HostRecord record;
    private final RepeatGuard repeats = new RepeatGuard();
    private final SendGuard sends;

    public Logic(long seed, Map<String, String> start) {
        SplittableRandom chance = new SplittableRandom(seed);
        traffic = new Traffic(start);
        health = new Health(traffic, chance);
        ClusterClock clock = new ClusterClock();
        slowStart = new SlowStart(traffic, clock, chance);
        times = new Times(traffic, health);
        targets = new Targets(traffic, clock, slowStart, new LinkedHashMap<>(64, 0.75f, true));
        worth = new Worth(traffic);
        ends = new Ends(traffic);
        HostRoom room = new HostRoom(traffic, health, times);
        choice = new Choice(traffic, health, slowStart, times, room, targets, worth, chance);
        probing = new Probing(traffic, clock, health, targets, choice, worth, agenda, chance);
        record = new HostRecord(traffic, clock, health, targets, agenda, idle);
        sends = new SendGuard(repeats, targets);
    }

    @Override
    public void listed(Host host, boolean leader, Host.State state, long launched, long now) {
        record.listed(host, leader, state, launched, now);
    }

    @Override
    public boolean forget(Host host, long now) {
        return record.forget(host, now);
    }

    @Override
    public void probed(Host host, Outcome outcome, Word report, long now) {
        record.probed(host, outcome, report, now);
    }

    @Override
    public TxnType type(int place) {
        return traffic.types.get(place);
    }

    @Override
    public Verdict place(Txn txn, long now) {
        if (!txn.known) {
            txn.known = true;
            txn.target = targets.sessionTarget(txn, now);
            txn.slaEnd = times.slaEnd(txn);
            traffic.comes(txn.type);
            txn.group.comes.add(0, 0, now);
            slowStart.drawTickets(txn.group, now);
        }
        agenda.drop(txn);
        Verdict verdict = decide(txn, now);
        if (verdict.step() == Verdict.Step.SEND) {
            verdict.host().sentAt = now;
            boolean spent = verdict.host().tickets.pollFirst() != null;
            targets.sent(txn);
            agenda.schedule(txn, now + health.usual(verdict.host()));
            if (slowStart.cold(verdict.host(), now)) {
                return verdict.with(spent ? SlowStartTicket.SPENT : SlowStartTicket.MISSING);
            }
        }
        return verdict;
    }

    private Verdict decide(Txn txn, long now) {
        int out = txn.out();
        if (!repeats.allows(txn, null, now)) {
            return out > 0 ? Verdict.waiting() : Verdict.rollBack(Verdict.Reason.MAY_HAVE_RUN);
        }
        if (out > 0) {
            return copy(txn, now);
        }
        Verdict.Reason end = txn.submissions.size() - txn.localFaults >= ends.mostSubmissions(txn)
                ? Verdict.Reason.ATTEMPTS_USED
                : now >= times.lastUse(txn)
                        ? Verdict.Reason.NO_TIME
                        : times.hopeless(txn, now) ? Verdict.Reason.PRIMARY_LOST : Verdict.Reason.NONE;
        if (end != Verdict.Reason.NONE) {
            return ends.giveUp(txn, end, now);
        }
        txn.want = Txn.Want.NOTHING;
        if (now < txn.retryAt) {
            agenda.hold(txn);
            agenda.schedule(txn, txn.retryAt);
            return Verdict.waiting();
        }
        Host host = choice.choose(txn, now);
        if (host != null) {
            return Verdict.send(host, times.timeout(txn, now));
        }
        agenda.hold(txn);
        agenda.schedule(txn, times.nextLook(txn, now));
        return Verdict.waiting();
    }

    /** A repeatable txn that is out at hosts gone silent gets a second copy elsewhere. */
    private Verdict copy(Txn txn, long now) {
        if (txn.type.effect() != Effect.REPEATABLE
                || !traffic.says("limits.second_copies")
                || txn.submissions.size() >= ends.mostSubmissions(txn)
                || now >= times.lastUse(txn)) {
            return Verdict.waiting();
        }
        for (Submission s : txn.submissions) {
            if (!s.ended && !health.doubtful(s.host, now)) {
                agenda.schedule(txn, now + health.usual(s.host));
                return Verdict.waiting();
            }
        }
        Host host = choice.choose(txn, now);
        if (host != null) {
            return Verdict.send(host, times.timeout(txn, now));
        }
        agenda.schedule(txn, now + 50 * MS);
        return Verdict.waiting();
    }

    @Override
    public SendCheck mayGo(Submission s, long now) {
        return sends.check(s, now);
    }

    /** A second less than the stated time: a host's clock of idleness runs from an earlier byte than ours. */
    @Override
    public long keepIdle() {
        return Math.max(0, traffic.micros("limits.conn_idle_us") - 1_000 * MS);
    }

    @Override
    public long toldTime(long left) {
        return times.toldTime(left);
    }

    @Override
    public Verdict after(Submission s, Outcome outcome, boolean settled, Word answer, Word report, long now) {
        record.ended(s, outcome, answer, report, now);
        Txn txn = s.txn;
        if (outcome == Outcome.LOCAL_FAULT) {
            txn.localFaults++;
            txn.retryAt = now + LOCAL_FAULT_REST;
        }
        if (txn.ended) {
            return Verdict.waiting();
        }
        if (settled) {
            agenda.drop(txn);
            traffic.served(txn, outcome == Outcome.COMMITTED && now <= txn.slaEnd);
            slowStart.ended(s, outcome == Outcome.COMMITTED, now);
            return Verdict.done(ends.othersOut(txn));
        }
        return place(txn, now);
    }

    @Override
    public Verdict left(Txn txn, long now) {
        agenda.drop(txn);
        traffic.patience.add((now - txn.arrived) * 1_000 / txn.type.sla(), 0, now);
        traffic.failed(txn, now);
        // Work for a client that has gone keeps the next one waiting.
        return Verdict.done(ends.othersOut(txn));
    }

    /** What may have run is waited for, as rule 2 has it, and never sent again: it would run in two places. */
    @Override
    public Verdict displaced(Txn txn, long now) {
        agenda.drop(txn);
        Submission ran = txn.mayHaveRun();
        if (txn.out() > 0) {
            return Verdict.waiting();
        }
        traffic.served(txn, false);
        traffic.failed(txn, now);
        return ran == null || txn.type.effect() == Effect.REPEATABLE
                ? Verdict.decline(0, Verdict.Reason.NOT_ADMITTED)
                : Verdict.rollBack(Verdict.Reason.NOT_ADMITTED);
    }

    @Override
    public Pause pause(long now) {
        Set<Txn> again = agenda.due(now);
        agenda.changed().forEach(group -> again.addAll(group.held));
        List<Txn> order = new ArrayList<>(again);
        double[] weights = order.size() < 2 ? new double[0] : worth.weights();
        // Of equal worth the one with most time left goes first: with more work than room, the oldest first
        // would have each txn served when it is nearly too late, and many when it is.
        order.sort(Comparator.<Txn>comparingDouble(t -> -worth.of(t, now) * weights[t.type.place()])
                .thenComparingLong(t -> -t.slaEnd)
                .thenComparingLong(t -> t.number));
        List<Host> probes = probing.probes(now);
        List<Host> close = new ArrayList<>(idle);
        idle.clear();
        close.removeIf(host -> !host.out.isEmpty());
        return new Pause(agenda.next(), probes, order, close);
    }
}
