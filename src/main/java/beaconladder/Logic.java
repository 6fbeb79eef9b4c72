package beaconladder;

import beaconladder.api.Pause;
import beaconladder.api.Router;
import beaconladder.api.Verdict;
import beaconladder.fleet.Group;
import beaconladder.fleet.Host;
import beaconladder.fleet.Samples;
import beaconladder.fleet.Session;
import beaconladder.fleet.Submission;
import beaconladder.fleet.Txn;
import beaconladder.fleet.TxnType;
import beaconladder.fleet.TxnType.Effect;
import beaconladder.fleet.TxnType.Read;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Every decision of one router; the interface is {@link Router}, and docs/design.md tells why it decides so.
 *
 * <p>How to call it: make one instance a router from the seed and the start-up settings. Tell it of the
 * roster with {@link #listed}. Ask {@link #place} for each txn that comes in, and do what the verdict says;
 * once the caller has sent a submission it adds it to the txn and to the host, and hands its end to {@link
 * #after}. When all that is known at one time has been told, ask {@link #pause}: probe the members it names,
 * ask {@link #place} again for the txns it names, and repeat until it names none; then come back at its time
 * or with the next news. A verdict of WAIT leaves the txn here; after DECLINE, ROLL_BACK and DONE it has had
 * its final answer.
 */
public final class Logic implements Router {
    private static final long MS = 1_000_000L;
    private static final long NEVER = Long.MAX_VALUE;
    private static final long UNBOUND = Long.MIN_VALUE;
    /** Reports are up to a quarter second old when they come; what was said before that is history. */
    private static final long YOUNG = 300 * MS;
    /** A probe answers within a few milliseconds and a tick; a member that took longer is passed over. */
    private static final long MUTE = 40 * MS;

    private final SplittableRandom chance;
    private final Map<String, String> start;
    private final List<TxnType> types;
    private final double topValue;
    /** The tightest bound of a txn type; a second where none is stated. */
    private final long tightest;
    private final Set<Group> groups = new LinkedHashSet<>();
    private final TreeSet<Txn> agenda =
            new TreeSet<>(Comparator.<Txn>comparingLong(t -> t.look).thenComparingLong(t -> t.number));
    private final LinkedHashMap<Long, Session> sessions = new LinkedHashMap<>(64, 0.75f, true);
    /** The types of the txns that came last. */
    private final Samples mix = new Samples(256);
    /** Times of the last answers, each with what its host had said that it held when it was sent. */
    private final Samples paces = new Samples(48);
    /** How old the positions of replicas were when they last came with a probe. */
    private final Samples stale = new Samples(32);
    /** How long the last clients that left had waited, in thousandths of their SLA time. */
    private final Samples patience = new Samples(16);
    /** How the last submissions ended at hosts that had lately answered: 1 for no good answer. */
    private final Samples mixed = new Samples(48);
    /** How the last txns ended: 1 for a commit. */
    private final Samples fates = new Samples(32);
    /** Hosts with connections that this router will hardly use again soon. */
    private final Set<Host> idle = new LinkedHashSet<>();
    private long probeLook = NEVER;

    public Logic(long seed, Map<String, String> start) {
        this.chance = new SplittableRandom(seed);
        this.start = start;
        this.types = TxnType.read(start);
        this.tightest = types.stream().filter(t -> t.read() == Read.BOUNDED).mapToLong(TxnType::bound).min()
                .orElse(1_000 * MS);
        this.topValue = types.stream().mapToDouble(TxnType::value).max().orElse(1);
    }

    @Override
    public TxnType type(int place) {
        return types.get(place);
    }

    // ---- The first question: where to send this txn -------------------------------------------------------

    @Override
    public Verdict place(Txn txn, long now) {
        if (!txn.known) {
            txn.known = true;
            txn.target = sessionTarget(txn);
            txn.slaEnd = slaEnd(txn);
            mix.add(txn.type.place(), 0, now);
            txn.group.comes.add(0, 0, now);
            drawTickets(txn.group, now);
        }
        drop(txn);
        Verdict verdict = decide(txn, now);
        if (verdict.step() == Verdict.Step.SEND) {
            verdict.host().sentAt = now;
            verdict.host().tickets.pollFirst();
            schedule(txn, now + usual(verdict.host()));
        }
        return verdict;
    }

    private Verdict decide(Txn txn, long now) {
        int out = txn.out();
        Submission ran = txn.mayHaveRun();
        // Rule 2: what may have run is repeated only where its repeat does no harm.
        if (ran != null && txn.type.effect() == Effect.ONCE_ONLY
                || ran != null && txn.type.effect() == Effect.REFERENCED
                        && now - ran.sent >= txn.type.memory()) {
            return out > 0 ? Verdict.waiting() : Verdict.rollBack(List.of());
        }
        if (out > 0) {
            return copy(txn, now);
        }
        if (txn.submissions.size() >= mostSubmissions(txn) || now >= lastUse(txn) || hopeless(txn, now)) {
            return giveUp(txn, now);
        }
        txn.want = Txn.Want.NOTHING;
        Host host = choose(txn, now);
        if (host != null) {
            return Verdict.send(host, timeout(txn, now));
        }
        txn.group.held.add(txn);
        schedule(txn, nextLook(txn, now));
        return Verdict.waiting();
    }

    /** The host that gets this txn now, or null: it waits. */
    private Host choose(Txn txn, long now) {
        if (txn.type.read().atPrimary()) {
            return primaryFor(txn, now);
        }
        Host replica = replicaFor(txn, now);
        if (replica == null && now >= release(txn) && !anyFresh(txn, now) && spare(txn.group)) {
            return primaryFor(txn, now);
        }
        return replica;
    }

    /** The design's two-choice pick among the replicas known to meet the target. */
    private Host replicaFor(Txn txn, long now) {
        long target = target(txn, now);
        List<Host> fit = new ArrayList<>();
        for (Host host : txn.group.members) {
            if (fresh(host, target) && !tried(txn, host) && roomFor(host, txn, now) && coldAllows(host, now)
                    && trusted(host, now)) {
                fit.add(host);
            }
        }
        if (mayAsk(txn)) {
            if (fit.isEmpty()) {
                txn.want = Txn.Want.MEMBER;
            } else if (worthAsking()) {
                List<Host> young = new ArrayList<>(fit);
                young.removeIf(host -> !informed(host, now));
                if (young.size() < 2 && answerDue(txn, txn.asked < 2 || young.isEmpty(), now)) {
                    txn.want = Txn.Want.MEMBER;
                    return null;
                }
                fit = young.isEmpty() ? fit : young;
            }
        }
        if (fit.size() < 2) {
            return fit.isEmpty() ? null : fit.get(0);
        }
        int i = chance.nextInt(fit.size());
        int j = chance.nextInt(fit.size() - 1);
        Host a = fit.get(i);
        Host b = fit.get(j >= i ? j + 1 : j);
        // A member too far behind for bounded reads is of use for any reads alone, and those leave the others
        // to the reads that need them, and to catching up.
        if (txn.type.read() == Read.ANY && farBehind(a) != farBehind(b)) {
            return farBehind(a) ? a : b;
        }
        boolean said = said(a, now) && said(b, now);
        double busyA = said ? (load(a) + 1) / success(a, now) : a.out.size();
        double busyB = said ? (load(b) + 1) / success(b, now) : b.out.size();
        if (busyA == busyB) {
            // A tie of the design's pick goes to the nearer one, as crossing zones has its price.
            return b.zone == Integer.parseInt(start.getOrDefault("my_zone", "0")) ? b : a;
        }
        return busyB < busyA ? b : a;
    }

    private boolean farBehind(Host host) {
        return host.lag > 2 * tightest;
    }

    /** Whether an answer to a probe is under way, or, if more may be asked, a member is there to ask. */
    private boolean answerDue(Txn txn, boolean more, long now) {
        for (Host host : txn.group.members) {
            if (host.state == Host.State.READY && host != txn.group.primary && !informed(host, now)
                    && (host.probeOut ? !mute(host, now) : more && now >= host.probeSent + YOUNG / 3)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the host told of its load lately. */
    private boolean said(Host host, long now) {
        return host.holds >= 0 && now - host.saidAt <= YOUNG;
    }

    /** What the host said that it holds, and what this router has sent it since. */
    private double load(Host host) {
        return host.holds + host.sentSince(host.saidAt);
    }

    /**
     * The chance that this host answers this router in time, by how its submissions of the last twenty
     * seconds ended: it is well and fails as rarely as hosts do that also answer, or, one in five, it is not
     * and fails nine times in ten. Guards against reports that are not true, idle or stuck while the host is
     * slow: what it says loses against what it does. Covers slow, ageing and hung hosts too; where answers
     * are lost all over, hosts that answer fail often as well, and none is set aside for it. Harm: a heavy
     * txn alone at a host counts against it.
     */
    private double success(Host host, long now) {
        long since = now - 20_000 * MS;
        int good = (int) host.marks.sumSince(since);
        int bad = host.marks.since(since) - good;
        for (Submission s : host.out) {
            bad += now - s.sent > s.txn.type.sla() ? 1 : 0;
        }
        double rarely = (1 + mixed.sumSince(since)) / (10.0 + mixed.since(since));
        double ill = 0.2 * Math.pow(0.9, bad) * Math.pow(0.1, good);
        double well = 0.8 * Math.pow(rarely, bad) * Math.pow(1 - rarely, good);
        return (0.1 * ill + (1 - rarely) * well) / (ill + well);
    }

    /** Whether the host spoke lately, or answers this router so often that its times tell as much. */
    private boolean informed(Host host, long now) {
        return now - host.saidAt <= YOUNG || host.times.since(now - 3_000 * MS) >= 4;
    }

    private boolean mute(Host host, long now) {
        return host.probeOut && now - host.probeSent > MUTE;
    }

    /** A held txn pays for as many probes as a seventh of its value buys, one at the least. */
    private boolean mayAsk(Txn txn) {
        return txn.out() == 0 && txn.asked < budget(txn) && probesAllowed();
    }

    /** Allowed unless the settings say no; there, members are trusted without one. */
    private boolean probesAllowed() {
        return !"false".equals(start.get("limits.probes"));
    }

    private int budget(Txn txn) {
        return (int) Math.max(1, Math.min(1_000, 0.15 * txn.type.value() / (fee("probe") * meanValue())));
    }

    /** The value of the txns that came last. */
    private double asked() {
        return types.stream().mapToDouble(type -> mix.count(type.place()) * type.value()).sum();
    }

    /** The mean value of the txns that come here, in which prices are reckoned. */
    private double meanValue() {
        return mix.size() == 0 ? topValue : asked() / mix.size();
    }

    /**
     * Whether to ask before a send to members that were not heard of lately: where two probes cost under
     * three points in a hundred, as knowing the load brings more than that by far. Covers whatever shows in
     * a probe: dead and unreachable members, queues, changed roles. Harm: the price and some milliseconds,
     * where nothing is wrong.
     */
    private boolean worthAsking() {
        return 2 * fee("probe") <= 0.03;
    }

    private Host primaryFor(Txn txn, long now) {
        Host primary = txn.group.primary;
        if (primary == null || primary.state != Host.State.READY
                || !primary.met && probesAllowed() || !trusted(primary, now)) {
            txn.want = mayAsk(txn) ? Txn.Want.PRIMARY : Txn.Want.NOTHING;
            return null;
        }
        if (!informed(primary, now) && mayAsk(txn) && worthAsking()) {
            txn.want = Txn.Want.PRIMARY;
            return null;
        }
        if (tried(txn, primary) || !roomFor(primary, txn, now)) {
            return null;
        }
        drawForPrimary(txn, primary, now);
        return coldAllows(primary, now) ? primary : null;
    }

    /** Writes have first call on the primary: no read is released to it while one of them waits. */
    private boolean spare(Group group) {
        return group.held.stream().noneMatch(t -> t.type.read() == Read.WRITE);
    }

    private boolean fresh(Host host, long target) {
        return host.state == Host.State.READY && host != host.group.primary && (host.met || !probesAllowed())
                && host.position >= target;
    }

    /** A cold member without a ticket can't take it: waiting for one would hold the read past its time. */
    private boolean anyFresh(Txn txn, long now) {
        long target = target(txn, now);
        return txn.group.members.stream().anyMatch(host -> fresh(host, target) && coldAllows(host, now));
    }

    private boolean tried(Txn txn, Host host) {
        return txn.submissions.stream().anyMatch(s -> s.host == host && !s.ended);
    }

    /** The position that a replica must have reached now. Rule 5: a bound is judged at the send. */
    private long target(Txn txn, long now) {
        return switch (txn.type.read()) {
            case BOUNDED -> Math.max(txn.floor, now - txn.type.bound());
            case SESSION -> Math.max(txn.floor, txn.target);
            default -> txn.floor;
        };
    }

    private long sessionTarget(Txn txn) {
        if (!"router".equals(start.get("family_info.session_marks"))) {
            return txn.written;
        }
        Session session = sessions.get(txn.session);
        return session != null ? session.commit : txn.group.forgotten;
    }

    private void remember(Txn txn, long commit) {
        if (txn.session == 0 || !"router".equals(start.get("family_info.session_marks"))) {
            return;
        }
        Session session = sessions.computeIfAbsent(txn.session, k -> new Session());
        session.group = txn.group;
        session.commit = Math.max(session.commit, commit);
        // 50,000 sessions are a few megabytes; what is forgotten still binds, as the newest commit forgotten.
        if (sessions.size() > 50_000) {
            Session eldest = sessions.remove(sessions.keySet().iterator().next());
            eldest.group.forgotten = Math.max(eldest.group.forgotten, eldest.commit);
        }
    }

    // ---- Time ---------------------------------------------------------------------------------------------

    /**
     * When the SLA time ends, counted from the client's first try. First tries of a type bring one and the
     * same budget; any other budget is what is left of the type's expiry, so the difference has already gone
     * by. Guards against serving repeats that can earn nothing while fresh txns wait; errs on the side of
     * serving. Where clients mark their repeats, what isn't marked is a first try; where they don't, budgets
     * under the SLA time that are more frequent than repeats scatter are of clients that come with little
     * time.
     */
    private long slaEnd(Txn txn) {
        long budget = txn.expiry - txn.arrived;
        Samples budgets = txn.type.budgets();
        budgets.add(budget, 0, txn.arrived);
        // Eight samples tell a cluster from scatter; arrivals are read once a tick, so equal budgets spread
        // by one.
        long first = budgets.densest(8 * MS);
        boolean marked = "true".equals(start.get("clients.marks_retry"));
        boolean usual = budgets.size() < 8 || Math.abs(budget - first) <= 8 * MS;
        long sla = txn.type.sla();
        boolean hurried = budget < sla && budgets.between(0, sla) * (first - sla)
                > 2 * budgets.between(sla, first - 8 * MS) * sla;
        boolean firstTry = marked ? !txn.repeated : usual || hurried;
        long gone = firstTry ? 0 : usual ? (long) (sla * patience.mean() / 1_000)
                : Math.max(0, txn.type.expiry() - budget);
        return Math.min(txn.arrived + sla - gone, txn.expiry);
    }

    /**
     * The time within which an answer is of use: the SLA time, or, where many clients leave sooner, what they
     * have lately waited.
     */
    private double aim(Txn txn, long now) {
        long since = now - 10_000 * MS;
        // A client now and then leaves on any day; three of ten in ten seconds are a habit.
        return patience.since(since) >= Math.max(2, 0.3 * fates.since(since))
                ? txn.type.sla() * Math.min(1, patience.mean(since) / 1_000) : txn.type.sla();
    }

    /**
     * When a held read may go to the primary: the design's default, one SLA time before its expiry, or
     * earlier where the primary's answer would else come too late. One and a half usual times cover two
     * answers in three. A round before its last use at the latest, where slower replicas set that use
     * before the primary's answer: a release after it would never come.
     */
    private long release(Txn txn) {
        Host primary = txn.group.primary;
        long answer = primary == null || txn.group.times.size() == 0 ? 0 : usual(primary) * 3 / 2;
        long round = Long.parseLong(start.getOrDefault("round_us", "5000")) * 1_000;
        return Math.min(Math.min(txn.expiry - txn.type.sla(), txn.slaEnd - answer), lastUse(txn) - round);
    }

    /**
     * From here on a txn that is not out is not worth its work: three in five answers would come too late. A
     * late answer that earns a quarter or less is no reason to send, since a fresh txn earns more by the
     * same work. Guards against overload fed by work for nothing.
     */
    private long lastUse(Txn txn) {
        long end = txn.type.late() > 0.25 ? txn.expiry : txn.slaEnd;
        return Math.min(end - txn.group.times.quantile(0.4), lastMoment(txn));
    }

    /**
     * A txn that lives by the primary, never sent, is given up at half of its time where that is long lost,
     * so that its client may try again: an outage of T so far ends within r with chance r / (T + r), and at
     * under three in ten a late answer isn't worth it. Harm: an outage's end finds fewer of them here.
     */
    private boolean hopeless(Txn txn, long now) {
        Host primary = txn.group.primary;
        boolean lost = primary == null || !primary.met || doubtful(primary, now);
        long since = primary == null ? txn.group.lostAt : primary.lastHeard;
        return lost && since != UNBOUND && txn.type.read().needsPrimary() && txn.submissions.isEmpty()
                && now >= half(txn) && now - since > 2.3 * (lastUse(txn) - now);
    }

    private long half(Txn txn) {
        return (txn.arrived + lastMoment(txn)) / 2;
    }

    /** Late answers that earn nothing are not waited for. */
    private long timeout(Txn txn, long now) {
        boolean late = txn.type.late() > 0 || txn.type.effect() != Effect.REPEATABLE;
        return (late ? lastMoment(txn) : Math.min(txn.slaEnd, lastMoment(txn))) - now;
    }

    /** Two ticks (10 ms) before the expiry: on a busy core timers and threads were seen 7 ms late at most. */
    private long lastMoment(Txn txn) {
        return txn.expiry - 2 * Long.parseLong(start.getOrDefault("round_us", "5000")) * 1_000;
    }

    private long nextLook(Txn txn, long now) {
        long look = lastUse(txn);
        for (long moment : new long[] {release(txn), half(txn)}) {
            look = now < moment ? Math.min(look, moment) : look;
        }
        // Draws for doubtful hosts and the budget of cold ones change with time alone.
        return Math.max(now + 5 * MS, Math.min(look, now + (txn.want == Txn.Want.NOTHING ? 100 * MS : MUTE)));
    }

    /** The usual time of an answer from this host. */
    private long usual(Host host) {
        double mean = host.times.size() >= 4 ? host.times.mean() : host.group.times.mean();
        return mean == 0 ? 200 * MS : Math.max(20 * MS, (long) mean);
    }

    // ---- Load ---------------------------------------------------------------------------------------------

    /**
     * Whether this host would answer one more txn in time: its recent times, scaled by the submissions of
     * this router out there now against those out there then.
     */
    private boolean roomFor(Host host, Txn txn, long now) {
        // Work that was abandoned may still be done there, but not for ever.
        host.abandoned.removeIf(old -> now > old.txn.expiry);
        int n = host.out.size() + host.abandoned.size();
        // A host that turned a txn away is left to work off a part of its queue, so that rejections, which
        // cost it work too and count against a cold host, don't feed a storm of further submissions.
        if (now < host.fullAt + usual(host) / 2) {
            return false;
        }
        long left = (now < txn.slaEnd ? txn.slaEnd : txn.expiry) - now;
        // Older times tell of a load that may be gone: a host that was slow and is sent little would look
        // slow for ever.
        long since = now - 3_000 * MS;
        // Nine over all routers keep a small primary busy, three a replica, which has to apply the log too.
        int routers = Integer.parseInt(start.getOrDefault("replicas_of_me", "1"));
        boolean crowds = txn.type.read() == Read.ANY && host.lag > tightest / 2 && !farBehind(host);
        if (host.times.since(since) < 4) {
            if (success(host, now) < 0.4) {
                // One at a time over all routers keeps it busy, lets a queue that starves it run off, and
                // shows when it has recovered.
                return host.out.isEmpty() && now - host.sentAt >= routers * paces.mean();
            }
            if (said(host, now)) {
                return roomByReport(host, txn, crowds, left, now);
            }
        }
        int few = (host == host.group.primary ? 9 : 3) / routers;
        int out = host.out.size();
        if (host.times.size() < 4) {
            return out < Math.max(1, 6 / routers);
        }
        // Work takes about a fifth of the SLA time and spreads to twice its mean, so at three tenths a host
        // has little more queue than it needs to stay busy; what waits beyond that waits here, where the
        // order can change.
        boolean recent = host.times.since(since) >= 4;
        double mean = recent ? host.times.mean(since) : host.times.mean();
        double beside = Math.max(1, recent ? host.times.meanBeside(since) : 1);
        // On a replica near the bound any reads hold back, so that its apply thread gets its part of the
        // cores and it stays of use to bounded reads.
        double most = Math.min((crowds ? 0.2 : 0.3) * aim(txn, now), 0.6 * left);
        // Own times tell no crowd from work where this router alone keeps the host from being busier; what
        // the host says that it holds does.
        if (recent && mean * (n + 1) / beside <= most
                || mean <= most && (out == 0 || recent && n <= beside) || said(host, now)
                && (load(host) < 2 || paces.size() >= 8 && paces.expected(load(host)) <= most)
                && success(host, now) >= 0.4) {
            return true;
        }
        // Among few others a txn takes what the quicker half does; with less left the work would be for
        // nothing. A host too slow even so is kept busy by the others, and this router's single txns keep a
        // distance. Abandoned work doesn't count here: only answers to later sends can tell that it is done
        // with.
        return out < few && (!recent || host.times.quantile(0.5) <= left)
                || out == 0 && now - host.sentAt >= mean * mean / (0.3 * txn.type.sla());
    }

    /**
     * The same by what the host says that it holds for all routers, where this one sends it too little to
     * tell: the time to expect at its load, by the last answers and the loads they met. Holding a txn back
     * saves no time, only work for nothing, so the time may be most of what is left.
     */
    private boolean roomByReport(Host host, Txn txn, boolean crowds, long left, long now) {
        double load = load(host);
        // Two in hand wait for no core.
        if (load < 2) {
            return true;
        }
        // With no samples of its own a router starts from the SLA time: work takes a fifth of it, and a small
        // host does three at a time.
        double expected = paces.size() < 8 ? 0.2 * txn.type.sla() * Math.max(1, (load + 1) / 3)
                : paces.expected(load);
        return expected <= Math.min((crowds ? 0.25 : 0.7) * aim(txn, now), 0.8 * left);
    }

    /**
     * Rule 4: a cold host is sent to on tickets alone. Each txn that comes in for its group draws one with
     * the chance that a warm member bears it, times the host's present share: what a warm member bears is
     * at most what it can, and a cold one can at least its share of that. Over all routers, however many
     * and however uneven, that sums to the host's part, with no router counting the others; a ticket that
     * isn't used within the rule's window lapses, so that waiting txns can't save up for a burst. Guards
     * against any return of hosts, single or of a whole group; harm: a host is kept small for the longest
     * time it may need, and to what warm ones bear where they have room.
     */
    private void drawTickets(Group group, long now) {
        for (Host host : group.members) {
            if (host != group.primary && cold(host, now) && host.state == Host.State.READY) {
                draw(host, 1, now);
            }
        }
    }

    /**
     * At a cold primary most tickets of txns that come in would lapse, as a router sees few txns a second and
     * most of those don't need it. So the draw is made by the txns that do, once each, when they first need
     * it, and with the chance raised by how many come in for each of them: over all, the same number of
     * tickets. What waited for a lost primary draws as if all needed it, so that its return meets no burst.
     */
    private void drawForPrimary(Txn txn, Host primary, long now) {
        if (txn.drew || !cold(primary, now)) {
            return;
        }
        txn.drew = true;
        Group group = txn.group;
        group.comes.add(1, 0, now);
        long since = now - 10_000 * MS;
        // Where the group has told little, the share of types that need the primary among what comes here.
        double share = (1.0 + types.stream().filter(type -> type.read().atPrimary())
                .mapToInt(type -> mix.count(type.place())).sum()) / (1 + mix.size());
        double needs = group.comes.sumSince(since);
        double comes = group.comes.since(since) - needs;
        draw(primary, txn.arrived > group.foundAt ? Math.max(1, (1 + comes) / (share + needs)) : 1, now);
    }

    /** One draw, where so many txns of the group come in for each that draws. */
    private void draw(Host host, double each, long now) {
        Group group = host.group;
        int ready = group.ready();
        int warm = (int) group.members.stream().filter(h -> h.state == Host.State.READY && !cold(h, now))
                .count();
        // The last ten seconds of the group here, a txn or more a second at a router: what a warm member
        // bore, or where there is none, what members bore on the average. Without such news, all of it.
        long since = now - 10_000 * MS;
        Samples bore = warm > 0 ? group.borneWarm : group.borne;
        double part = (bore.sumSince(since) + 1.0) / (bore.since(since) + 1) / (warm > 0 ? warm : ready);
        double least = Double.parseDouble(start.getOrDefault("rules.cold_share", "0"));
        double share = least
                + (1 - least) * Math.max(0, now - host.launched) / micros("rules.warm_within_us");
        // Two fifths of the stated multiple leave room for chance and for tickets of two windows.
        double safe = Math.min(1, 0.4 * Double.parseDouble(start.getOrDefault("rules.fall_multiple", "2")));
        if (chance.nextDouble() < each * safe * share * part) {
            host.tickets.addLast(now);
        }
    }

    private boolean cold(Host host, long now) {
        return host.launched > 0 && now < host.launched + micros("rules.warm_within_us");
    }

    private boolean coldAllows(Host host, long now) {
        if (!cold(host, now)) {
            return true;
        }
        long window = micros("rules.fall_us");
        while (!host.tickets.isEmpty() && host.tickets.peekFirst() < now - window) {
            host.tickets.removeFirst();
        }
        return !host.tickets.isEmpty();
    }

    private long micros(String name) {
        return Long.parseLong(start.getOrDefault(name, "0")) * 1_000;
    }

    // ---- Health -------------------------------------------------------------------------------------------

    /**
     * How much the silence of a host speaks against it: the waiting of all submissions out there since it
     * last spoke, in usual times. Answers that come at random at the usual rate stay silent so long with
     * chance e^-x.
     */
    private double silence(Host host, long now) {
        return (double) host.waited(now) / usual(host);
    }

    /** Chance e^-6 a look: a heavy txn alone at a host is still given six usual times. */
    private boolean doubtful(Host host, long now) {
        return silence(host, now) > 6 || host.ends.size() > 0 && host.ends.sumSince(host.lastHeard) == 0
                && host.ends.since(host.lastHeard) > 0;
    }

    /** A doubtful host gets one txn at a time, drawn from the posterior of its chance of success. */
    private boolean trusted(Host host, long now) {
        if (mute(host, now)) {
            return false;
        }
        if (!doubtful(host, now)) {
            return true;
        }
        // Four draws a second at most, so that many held txns don't draw until one wins.
        if (!host.out.isEmpty() || now < host.drawn + 250 * MS) {
            return false;
        }
        host.drawn = now;
        return chance.nextDouble() < success(host, now);
    }

    /** Further submissions go by value: one for the least, four for the most. */
    private int mostSubmissions(Txn txn) {
        int most = Integer.parseInt(start.getOrDefault("limits.max_attempts", "1"));
        return Math.min(most, 2 + (int) Math.round(3 * txn.type.value() / topValue));
    }

    /** A repeatable txn that is out at hosts gone silent gets a second copy elsewhere. */
    private Verdict copy(Txn txn, long now) {
        if (txn.type.effect() != Effect.REPEATABLE || !"true".equals(start.get("limits.second_copies"))
                || txn.submissions.size() >= mostSubmissions(txn) || now >= lastUse(txn)) {
            return Verdict.waiting();
        }
        for (Submission s : txn.submissions) {
            if (!s.ended && !doubtful(s.host, now)) {
                schedule(txn, now + usual(s.host));
                return Verdict.waiting();
            }
        }
        Host host = choose(txn, now);
        if (host != null) {
            return Verdict.send(host, timeout(txn, now));
        }
        schedule(txn, now + 50 * MS);
        return Verdict.waiting();
    }

    /** How a txn ended, at this router and in its group: committed at this host, or not (null). */
    private void fate(Txn txn, Host committedAt, long now) {
        fates.add(committedAt != null ? 1 : 0, 0, now);
        txn.group.borne.add(committedAt != null ? 1 : 0, 0, now);
        txn.group.borneWarm.add(committedAt != null && !cold(committedAt, now) ? 1 : 0, 0, now);
    }

    private void served(Txn txn, boolean inTime) {
        if (txn.arrived < txn.slaEnd) {
            txn.type.served().add(inTime ? 1 : 0, 0, txn.arrived);
        }
    }

    private Verdict giveUp(Txn txn, long now) {
        served(txn, false);
        fate(txn, null, now);
        Submission ran = txn.mayHaveRun();
        Effect effect = txn.type.effect();
        if (ran == null || effect == Effect.REPEATABLE
                || effect == Effect.REFERENCED && txn.type.scope() == TxnType.Scope.ALL) {
            long advice = "true".equals(start.get("limits.retry_after"))
                    ? Math.min(micros("limits.max_retry_after_us"), txn.type.sla()) : 0;
            return Verdict.decline(advice, List.of());
        }
        return Verdict.rollBack(List.of());
    }

    @Override
    public boolean stands(Submission s, long now) {
        Host host = s.host;
        return !s.txn.ended && now < s.txn.expiry && host.state == Host.State.READY
                && (host == host.group.primary
                || !s.txn.type.read().atPrimary() && host.position >= target(s.txn, now));
    }

    /** A second less than the stated time: a host's clock of idleness runs from an earlier byte than ours. */
    @Override
    public long keepIdle() {
        return Math.max(0, micros("limits.conn_idle_us") - 1_000 * MS);
    }

    // ---- The second question: what to do after this outcome -----------------------------------------------

    @Override
    public Verdict after(Submission s, Outcome outcome, boolean settled, Word answer, Word report, long now) {
        Host host = s.host;
        s.ended = true;
        s.neverRan = outcome.provesNotRun();
        host.out.remove(s);
        host.group.changed = true;
        if (host.out.isEmpty() && host.times.since(now - 10_000 * MS) < 3) {
            idle.add(host);
        }
        if (outcome.fromHost()) {
            host.met = true;
            host.lastHeard = now;
            host.ends.add(1, 0, now);
            // Answers come about in the order of the sends: what was abandoned before this send is done with.
            host.abandoned.removeIf(old -> old.sent < s.sent);
            if (outcome == Outcome.COMMITTED) {
                host.times.add(now - s.sent, s.beside, now);
                host.group.times.add(now - s.sent, s.beside, now);
                pace(s, now);
            } else if (outcome == Outcome.FULL) {
                host.fullAt = now;
            }
        } else if (outcome == Outcome.TIMED_OUT || outcome == Outcome.RESET
                || outcome == Outcome.UNREACHABLE) {
            if (host.lastHeard < s.sent) {
                host.ends.add(0, 0, now);
            }
            host.met &= outcome != Outcome.UNREACHABLE;
            if (outcome == Outcome.TIMED_OUT) {
                host.times.add(now - s.sent, s.beside, now);
                // At a host far more crowded than usual a time-out tells of the crowd; elsewhere of the host.
                if (s.holds > 2 * paces.meanBeside(UNBOUND) + 2) {
                    pace(s, now);
                }
            }
        }
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED) {
            host.abandoned.add(s);
        }
        if (outcome != Outcome.CANCELLED && outcome != Outcome.MOOT) {
            // A host that fails at once looks idle and quick; errors all over weigh as lost answers do.
            int well = outcome == Outcome.COMMITTED && now - s.sent <= s.txn.type.sla()
                    || outcome == Outcome.MISS ? 1 : 0;
            if (host.marks.sumSince(now - 20_000 * MS) > 0) {
                mixed.add(1 - well, 0, now);
            }
            host.marks.add(well, 0, now);
        }
        hear(host, answer, true, now);
        hear(host, report, false, now);
        Txn txn = s.txn;
        if (outcome == Outcome.MISS && txn.type.read() == Read.WRITE && host.group.primary == host) {
            lose(host.group, now);
        }
        if (outcome == Outcome.COMMITTED && txn.type.read() == Read.WRITE) {
            remember(txn, answer.position() == Word.NONE ? now : answer.position());
        }
        if (txn.ended) {
            return Verdict.waiting();
        }
        if (settled) {
            drop(txn);
            served(txn, outcome == Outcome.COMMITTED && now <= txn.slaEnd);
            fate(txn, outcome == Outcome.COMMITTED ? host : null, now);
            return Verdict.done(othersOut(txn));
        }
        return place(txn, now);
    }

    private void pace(Submission s, long now) {
        if (s.holds >= 0 && s.sent - s.saidAt <= YOUNG) {
            paces.add(now - s.sent, Math.round(s.holds), now);
        }
    }

    /** Copies that are out when the answer is there are called off. */
    private List<Submission> othersOut(Txn txn) {
        return "true".equals(start.get("limits.cancel"))
                ? txn.submissions.stream().filter(s -> !s.ended).toList() : List.of();
    }

    // ---- The record of positions and roles ----------------------------------------------------------------

    private void hear(Host host, Word word, boolean direct, long now) {
        Group group = host.group;
        if (word.position() != Word.NONE || word.holds() >= 0) {
            host.saidAt = now;
            host.holds = word.holds() >= 0 ? word.holds() : host.holds;
        }
        if (word.position() != Word.NONE && (direct || word.position() > host.position)) {
            host.lag = now - word.position();
        }
        if (word.position() > host.position) {
            host.position = word.position();
            group.changed = true;
        }
        long stamp = word.position() == Word.NONE ? now : word.position();
        if (word.role() == Role.PRIMARY && stamp >= group.primaryAt) {
            group.primaryAt = stamp;
            group.foundAt = group.primary == host ? group.foundAt : now;
            group.primary = host;
        } else if (word.role() == Role.REPLICA && group.primary == host
                && (direct || stamp > group.primaryAt)) {
            lose(group, now);
        }
    }

    private void lose(Group group, long now) {
        group.primary = null;
        group.lostAt = now;
    }

    @Override
    public void probed(Host host, Outcome outcome, Word report, long now) {
        host.probeOut = false;
        host.group.changed = true;
        if (outcome == Outcome.COMMITTED) {
            // What was held against a host that could not be reached is settled by reaching it; silence is
            // not.
            if (!host.met) {
                host.ends.clear();
            }
            host.met = true;
            hear(host, report, false, now);
            host.saidAt = now;
            if (report.role() == Role.REPLICA && report.position() != Word.NONE) {
                stale.add(now - report.position(), 0, now);
            }
        } else {
            host.ends.add(0, 0, now);
        }
    }

    @Override
    public void listed(Host host, boolean leader, Host.State state, long launched, long now) {
        Group group = host.group;
        group.changed = true;
        if (!group.members.contains(host)) {
            groups.add(group);
            group.members.add(host);
            host.launched = launched;
        } else if (launched > host.launched) {
            // A restart: what was known of its health and role is void; positions stay true.
            host.launched = launched;
            host.met = false;
            host.ends.clear();
            host.times.clear();
            if (group.primary == host) {
                lose(group, now);
            }
        }
        host.state = state;
        if (leader && group.namedByRoster != host) {
            group.namedByRoster = host;
            if (group.primary == null || group.primary.state != Host.State.READY
                    || doubtful(group.primary, now)) {
                group.foundAt = now;
                group.primary = host;
            }
        }
    }

    /** Rule 3 binds by what is listed, so a gone host is kept for the sake of its submissions alone. */
    @Override
    public boolean forget(Host host, long now) {
        host.abandoned.removeIf(old -> now > old.txn.expiry);
        if (!host.out.isEmpty() || !host.abandoned.isEmpty() || host.probeOut) {
            return false;
        }
        idle.remove(host);
        host.group.remove(host);
        if (host.group.primary == host) {
            lose(host.group, now);
        }
        return true;
    }

    @Override
    public Verdict left(Txn txn, long now) {
        drop(txn);
        patience.add((now - txn.arrived) * 1_000 / txn.type.sla(), 0, now);
        fate(txn, null, now);
        // Work for a client that has gone keeps the next one waiting.
        return Verdict.done(othersOut(txn));
    }

    /**
     * What may have run is waited for, as rule 2 has it, and never sent again: it would run in two places.
     */
    @Override
    public Verdict displaced(Txn txn, long now) {
        drop(txn);
        Submission ran = txn.mayHaveRun();
        if (txn.out() > 0) {
            return Verdict.waiting();
        }
        served(txn, false);
        fate(txn, null, now);
        return ran == null || txn.type.effect() == Effect.REPEATABLE ? Verdict.decline(0, List.of())
                : Verdict.rollBack(List.of());
    }

    // ---- The third question: how long to wait -------------------------------------------------------------

    @Override
    public Pause pause(long now) {
        Set<Txn> again = new LinkedHashSet<>();
        while (!agenda.isEmpty() && agenda.first().look <= now) {
            Txn txn = agenda.pollFirst();
            txn.look = NEVER;
            again.add(txn);
        }
        for (Group group : groups) {
            if (group.changed) {
                group.changed = false;
                again.addAll(group.held);
            }
        }
        List<Txn> order = new ArrayList<>(again);
        double[] weights = weights();
        // Of equal worth the one with most time left goes first: with more work than room, the oldest first
        // would have each txn served when it is nearly too late, and many when it is.
        order.sort(Comparator.<Txn>comparingDouble(t -> -worth(t, now) * weights[t.type.place()])
                .thenComparingLong(t -> -t.slaEnd)
                .thenComparingLong(t -> t.number));
        List<Host> probes = probes(now);
        long until = agenda.isEmpty() ? NEVER : agenda.first().look;
        List<Host> close = new ArrayList<>(idle);
        idle.clear();
        close.removeIf(host -> !host.out.isEmpty());
        return new Pause(Math.min(until, probeLook), probes, order, close);
    }

    /**
     * What a unit of value counts in the goal, by txn type: its part of the whole, and for the types served
     * worst their part of that term, spread over the little value that such a type asks for. Guards against
     * starving a type for another of higher value; harm: a type that nobody can serve still goes first, at no
     * cost to the hosts.
     */
    private double[] weights() {
        double[] weights = new double[types.size()];
        double asked = Math.max(1, asked());
        double worst = types.stream().filter(type -> type.served().size() >= 8)
                .mapToDouble(type -> type.served().mean()).min().orElse(1);
        for (TxnType type : types) {
            double part = Math.max(0.05, mix.count(type.place()) * type.value() / asked);
            // Within a tenth of the worst a type may be the worst one soon: samples of 64 are as rough as
            // that.
            boolean behind = type.served().size() >= 8 && type.served().mean() <= worst + 0.1;
            weights[type.place()] = goal("whole") + (behind ? goal("worst_class") / part : 0);
        }
        return weights;
    }

    private double goal(String name) {
        return Double.parseDouble(start.getOrDefault("goal." + name, name.equals("whole") ? "1" : "0"));
    }

    /** What an answer would still earn. */
    private double worth(Txn txn, long now) {
        return now < txn.slaEnd ? txn.type.value() : txn.type.value() * txn.type.late();
    }

    /**
     * Members to ask, each for the sake of a held txn that pays for it: for one that needs the primary the
     * member taken for it, or, where that is lost, the member furthest on; for a read the members that may be
     * fresh enough. A router asks nobody without such a txn: hundreds of them asking at each start and each
     * return would be a flood of its own.
     */
    private List<Host> probes(long now) {
        List<Host> ask = new ArrayList<>();
        probeLook = NEVER;
        for (Group group : groups) {
            long due = group.members.stream().filter(h -> h.probeOut && !mute(h, now)).count();
            for (Txn txn : group.held) {
                if (txn.want == Txn.Want.NOTHING || !mayAsk(txn)) {
                    continue;
                }
                long from = askFrom(txn);
                if (now < from) {
                    probeLook = Math.min(probeLook, from);
                    continue;
                }
                // As many at once as a tenth of its value pays for, since one or two that answer are enough.
                int pays = (int) Math.max(1, Math.min(4, 0.1 * worth(txn, now) / topValue / fee("probe")));
                for (Host host : candidates(txn, now)) {
                    if (due >= pays) {
                        break;
                    }
                    if (probe(host, pace(host, txn, now), ask, now)) {
                        due++;
                        txn.asked++;
                        txn.askedAt = now;
                    }
                }
            }
        }
        return ask;
    }

    /** When this txn may ask again: its first two probes at once, the rest an SLA time for all. */
    private long askFrom(Txn txn) {
        if (txn.asked >= 2) {
            return txn.askedAt + txn.type.sla() / budget(txn);
        }
        // Before a healthy replica's report can show the session's write there is nothing to learn.
        return txn.type.read() != Read.SESSION || txn.target == UNBOUND || stale.size() < 4 ? txn.arrived
                : txn.target + Math.min(YOUNG, stale.quantile(0.5));
    }

    private List<Host> candidates(Txn txn, long now) {
        List<Host> of = new ArrayList<>();
        Group group = txn.group;
        boolean toPrimary = txn.want == Txn.Want.PRIMARY;
        if (toPrimary && group.primary != null && group.primary.state == Host.State.READY
                && !group.primary.probeOut && !doubtful(group.primary, now)) {
            return List.of(group.primary);
        }
        for (Host host : group.members) {
            if (host.state == Host.State.READY && !host.probeOut && (toPrimary || host != group.primary)
                    // One that has just spoken has told what it can, but for a position not there yet.
                    && (host.saidAt < Math.max(now - YOUNG, toPrimary ? group.lostAt : UNBOUND)
                    || !toPrimary && host.position < target(txn, now))) {
                of.add(host);
            }
        }
        // Shuffled, so that routers don't all ask the same one; then those furthest on in steps of a second,
        // as members that lag little are as good as each other.
        for (int i = of.size() - 1; i > 0; i--) {
            java.util.Collections.swap(of, i, chance.nextInt(i + 1));
        }
        of.sort(Comparator.comparingLong(h -> h.lag / (1_000 * MS)));
        return of;
    }

    /** How long a member is left alone after a probe: longer after failures, and while it must be behind. */
    private long pace(Host host, Txn txn, long now) {
        long failed = host.ends.since(host.lastHeard) - host.ends.sumSince(host.lastHeard);
        long target = target(txn, now);
        long lacks = txn.want == Txn.Want.PRIMARY || host.position == UNBOUND || target == UNBOUND ? 0
                : (target - host.position) / 2;
        return Math.max(Math.min(2_000 * MS, 100 * MS << Math.min(5, failed)), Math.min(1_000 * MS, lacks));
    }

    /** Reports are refreshed every 50 to 250 ms, so asking more often than each 100 ms brings little. */
    private boolean probe(Host host, long every, List<Host> ask, long now) {
        if (host.probeSent != UNBOUND && now < host.probeSent + every) {
            probeLook = Math.min(probeLook, host.probeSent + every);
            return false;
        }
        host.probeOut = true;
        host.probeSent = now;
        ask.add(host);
        return true;
    }

    /** A price, as a share of a txn; never quite nothing. */
    private double fee(String name) {
        return Math.max(1e-3, Double.parseDouble(start.getOrDefault("fees." + name, "0")));
    }

    private void schedule(Txn txn, long look) {
        agenda.remove(txn);
        txn.look = look;
        agenda.add(txn);
    }

    private void drop(Txn txn) {
        agenda.remove(txn);
        txn.look = NEVER;
        txn.group.held.remove(txn);
    }
}
