package beaconladder.serve;

import beaconladder.Logic;
import beaconladder.api.Rounds;
import beaconladder.api.Router;
import beaconladder.api.Router.Outcome;
import beaconladder.api.Router.Word;
import beaconladder.cells.Confined;
import beaconladder.cells.Gate;
import beaconladder.cells.Pass;
import beaconladder.cells.Placement;
import beaconladder.cells.Territory;
import beaconladder.fleet.Group;
import beaconladder.fleet.Host;
import beaconladder.fleet.Submission;
import beaconladder.fleet.Txn;
import beaconladder.fleet.TxnType;
import beaconladder.pg.Outbox;
import beaconladder.pg.Statement;
import beaconladder.roster.Watch;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the module, its one lock and its one clock. Each event is told under the lock, then the rounds are
 * played; what has to be done on sockets is done by others, or here once the lock is free.
 */
final class Desk implements Rounds.Door, Watch.Listener, Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(Desk.class);
    /** The timer rests at least so long between two looks, so that it can't spin. */
    private static final long SHORTEST_REST_MILLIS = 1;
    /** A txn that is held looks so often whether its client is still there. */
    private static final long LOOK_NANOS = 50_000_000;

    /** Does on sockets what the rounds ask for beside the txns. */
    interface Errands {
        void probe(Host host);

        void closeIdle(Host host);

        /** Starts a submission whose txn's task is out with another one. */
        void start(Hand hand, Hand.Order order);

        void cancel(Submission submission);
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition sooner = lock.newCondition();
    private final Condition placed = lock.newCondition();
    private final Router router;
    private final Rounds rounds;
    /** Which cell a txn belongs to and whether it may go there; null where there are no cells. */
    private final Gate gate;
    private final Map<Txn, Hand> hands = new HashMap<>();
    /** Of the txns in hand. */
    private final Set<String> ids = new HashSet<>();
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    /** Those of them that are gone and not yet let go, so that a sweep does not walk the whole list. */
    private final Map<String, Host> leaving = new LinkedHashMap<>();
    private final Map<Integer, Group> groups = new ConcurrentHashMap<>();
    private final Map<Host, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final Map<String, Integer> typePlaces = new HashMap<>();
    private final Map<String, Integer> tenantPlaces = new HashMap<>();
    private final List<String> zones;
    private final long anchor = System.currentTimeMillis() * 1_000_000 - System.nanoTime();
    /** What is to be done on sockets once the lock is free. */
    private final List<Consumer<Errands>> errands = new ArrayList<>();
    private volatile Errands lines;
    /** Each txn's life and what was heard of hosts, at DEBUG. */
    private final Trace trace = new Trace();
    private long until = Long.MAX_VALUE;
    private long taken;
    /** How many hosts have been named; each has a number of its own. */
    private int numbered;
    private volatile boolean stopped;

    Desk(long seed, Map<String, String> start, Gate gate) {
        this.gate = gate;
        router = gate == null ? new Logic(seed, start) : new Confined(new Logic(seed, start), gate);
        rounds = new Rounds(router, this);
        zones = Arrays.asList(start.getOrDefault("zones", "").split(","));
        places(start, "request_classes", typePlaces);
        places(start, "parties", tenantPlaces);
        trace.settings(start);
    }

    private static void places(Map<String, String> start, String list, Map<String, Integer> into) {
        int count = Integer.parseInt(start.getOrDefault(list + ".count", "0"));
        for (int i = 0; i < count; i++) {
            into.put(start.getOrDefault(list + "." + i + ".name", String.valueOf(i)), i);
        }
    }

    void errands(Errands to) {
        lines = to;
    }

    /** Unix time in nanoseconds; never runs backwards. */
    long now() {
        return anchor + System.nanoTime();
    }

    /** The moment of the desk's clock on System.nanoTime's. */
    long nanoTime(long moment) {
        return moment - anchor;
    }

    Integer typePlace(String name) {
        return typePlaces.get(name);
    }

    /** Whether txns of this type write. */
    boolean writes(int type) {
        return router.type(type).read() == TxnType.Read.WRITE;
    }

    double value(int type) {
        return router.type(type).value();
    }

    Group group(int number) {
        return groups.get(number);
    }

    InetSocketAddress address(Host host) {
        return addresses.get(host);
    }

    long keepIdle() {
        return router.keepIdle();
    }

    /** How much it holds: hosts, their addresses, group members, txns and ids. */
    int held() {
        lock.lock();
        try {
            return hosts.size() + leaving.size() + addresses.size() + hands.size() + ids.size()
                    + groups.values().stream().mapToInt(group -> group.members.size()).sum();
        } finally {
            lock.unlock();
        }
    }

    boolean knowsHosts() {
        return !addresses.isEmpty();
    }

    // ---- Cells; all of these are for a router that has them -----------------------------------------------

    /** Whether there are cells. */
    boolean confined() {
        return gate != null;
    }

    /** The longest that a txn may be in hand, in nanoseconds. */
    long longest() {
        return gate == null ? Long.MAX_VALUE : gate.longest();
    }

    /** Asks for leave for a txn; waits while it is held, as long as its client stays. */
    Gate.Answer enter(String tenant, long key, int named, boolean write, int type, long size,
            InetAddress from,
            long arrived, long expiry, BooleanSupplier gone) throws InterruptedException {
        lock.lock();
        try {
            Gate.Answer answer = gate.admit(tenant, key, named, write, value(type), size, from, arrived,
                    expiry,
                    now());
            while (answer.kind() == Gate.Kind.HOLD) {
                if (gone.getAsBoolean()) {
                    gate.left(answer.pass());
                    return null;
                }
                try {
                    placed.awaitNanos(Math.min(LOOK_NANOS, Math.max(1, answer.until() - now())));
                } catch (InterruptedException e) {
                    gate.left(answer.pass());
                    throw e;
                }
                answer = gate.again(answer.pass(), now());
            }
            return answer;
        } finally {
            lock.unlock();
        }
    }

    /** A txn that had leave is not taken in hand after all. */
    void leave(Pass pass) {
        lock.lock();
        try {
            gate.left(pass);
        } finally {
            lock.unlock();
        }
    }

    /** Whether there is room for one more connection of this tenant. */
    boolean connected(Pass pass) {
        lock.lock();
        try {
            return gate.connected(pass, now());
        } finally {
            lock.unlock();
        }
    }

    void disconnected(Pass pass) {
        lock.lock();
        try {
            gate.disconnected(pass);
        } finally {
            lock.unlock();
        }
    }

    /** Whether the cell of this leave holds more connections than its own. */
    boolean borrows(Pass pass) {
        lock.lock();
        try {
            return gate.borrowsConnections(pass.cell());
        } finally {
            lock.unlock();
        }
    }

    Placement placement() {
        lock.lock();
        try {
            return gate.placement();
        } finally {
            lock.unlock();
        }
    }

    List<Gate.Busy> busy() {
        lock.lock();
        try {
            return gate.busy(now());
        } finally {
            lock.unlock();
        }
    }

    /** The keeper's word. */
    void placed(Placement placement) {
        tell(now -> {
            for (int number : gate.placed(placement)) {
                Group group = groups.get(number);
                if (group != null) {
                    group.changed = true;
                }
            }
            placed.signalAll();
        });
    }

    /** Another plan; what speaks against it, or null when it counts. */
    String plan(Territory next) {
        lock.lock();
        try {
            String objection = gate.objection(next);
            if (objection == null) {
                gate.plan(next);
            }
            return objection;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes a txn in: its task is told through the hand what to do, and releases its id at the end. Null
     * where another txn of this id is in hand.
     *
     * @param pass its leave, or null where there are no cells
     */
    Hand take(String id, int type, Group group, Statement statement, long written, long arrived,
            long expiry, Pass pass) {
        lock.lock();
        Hand hand;
        try {
            if (!ids.add(id)) {
                return null;
            }
            hand = new Hand(new Txn(taken, router.type(type), group, statement.session(), written,
                    tenantPlaces.getOrDefault(statement.value("t"), -1), "1".equals(statement.value("r")),
                    arrived, expiry, taken++), statement);
            hands.put(hand.txn, hand);
            trace.taken(hand.txn, id, now());
            if (pass != null) {
                gate.bind(hand.txn, pass);
            }
        } finally {
            lock.unlock();
        }
        tell(now -> rounds.act(hand.txn, router.place(hand.txn, now), now));
        return hand;
    }

    /** The txn of this id has had its answer. */
    void release(String id) {
        lock.lock();
        try {
            ids.remove(id);
        } finally {
            lock.unlock();
        }
    }

    /** Whether this submission may still go; asked right before its bytes. */
    boolean stands(Submission s) {
        lock.lock();
        try {
            return router.stands(s, now());
        } finally {
            lock.unlock();
        }
    }

    /** A submission has ended. */
    void ended(Submission s, Outcome outcome, Word answer, Word report, Outbox messages) {
        tell(now -> {
            if (s.ended) {
                return;
            }
            trace.ended(s, outcome, now);
            boolean settled = s.txn.ended || outcome == Outcome.COMMITTED;
            Hand hand = hands.get(s.txn);
            rounds.act(s.txn, router.after(s, outcome, settled, answer, report, now), now);
            if (hand != null && outcome == Outcome.COMMITTED) {
                hand.tell(new Hand.Order(Hand.Kind.COMMITTED, s, 0, messages));
            }
        });
    }

    /** The client of this txn has left. */
    void left(Hand hand) {
        tell(now -> {
            if (!hand.txn.ended) {
                trace.finished(hand.txn, "left", now);
                rounds.act(hand.txn, router.left(hand.txn, now), now);
                hand.tell(new Hand.Order(Hand.Kind.LEFT, null, 0, null));
            }
        });
    }

    void probed(Host host, Outcome outcome, Word report) {
        tell(now -> {
            trace.probed(host, outcome, host.probeSent, now);
            router.probed(host, outcome, report, now);
        });
    }

    @Override
    public void listed(boolean whole, List<Watch.Entry> entries) {
        List<Host> moved = new ArrayList<>();
        tell(now -> {
            Set<Host> named = new HashSet<>();
            for (Watch.Entry e : entries) {
                if (e.state() == Watch.State.GONE && !hosts.containsKey(e.id())) {
                    continue;
                }
                Group group = groups.computeIfAbsent(e.group(), Group::new);
                Host host = hosts.computeIfAbsent(e.id(),
                        id -> new Host(numbered++, group, zones.indexOf(e.zone())));
                named.add(host);
                trace.named(host, e.id());
                trace.listed(host, e.state().name(), e.leader(), e.launchedMillis());
                if (e.address() != null) {
                    InetSocketAddress before = addresses.put(host, e.address());
                    if (before != null && !before.equals(e.address())) {
                        moved.add(host);
                    }
                }
                Host.State state = switch (e.state()) {
                    case READY -> Host.State.READY;
                    case DRAINING -> Host.State.DRAINING;
                    case GONE -> Host.State.GONE;
                };
                if (state != Host.State.READY || e.launchedMillis() * 1_000_000 > host.launched) {
                    moved.add(host);
                }
                if (state == Host.State.GONE) {
                    leaving.put(e.id(), host);
                }
                router.listed(host, e.leader(), state, e.launchedMillis() * 1_000_000, now);
            }
            if (whole) {
                hosts.forEach((id, host) -> {
                    if (!named.contains(host) && host.state != Host.State.GONE) {
                        leaving.put(id, host);
                        router.listed(host, false, Host.State.GONE, host.launched, now);
                        moved.add(host);
                    }
                });
            }
        });
        if (lines != null) {
            moved.forEach(lines::closeIdle);
        }
    }

    /** Lets go of the hosts that are gone and that nothing needs any more. */
    void sweep() {
        lock.lock();
        try {
            long now = now();
            leaving.entrySet().removeIf(each -> {
                Host host = each.getValue();
                if (host.state != Host.State.GONE) {
                    // It is back.
                    return true;
                }
                if (!router.forget(host, now)) {
                    return false;
                }
                hosts.remove(each.getKey());
                addresses.remove(host);
                return true;
            });
        } finally {
            lock.unlock();
        }
    }

    private void tell(LongConsumer news) {
        List<Consumer<Errands>> then;
        List<String> traced;
        lock.lock();
        try {
            long now = now();
            news.accept(now);
            long next = rounds.settle(now);
            if (next < until) {
                sooner.signal();
            }
            until = next;
            then = errands.isEmpty() ? List.of() : List.copyOf(errands);
            errands.clear();
            traced = trace.take();
        } finally {
            lock.unlock();
        }
        trace.flush(traced);
        then.forEach(errand -> errand.accept(lines));
    }

    /** The timer: sleeps until the rounds are due by themselves. */
    @Override
    public void run() {
        while (!stopped) {
            try {
                if (due()) {
                    tell(now -> { });
                    Thread.sleep(SHORTEST_REST_MILLIS);
                }
            } catch (InterruptedException e) {
                stopped = true;
            } catch (RuntimeException | Error e) {
                LOG.error("the timer goes on after a fault", e);
            }
        }
    }

    private boolean due() throws InterruptedException {
        lock.lock();
        try {
            long left = until - now();
            if (left > 0) {
                sooner.awaitNanos(left);
            }
            return until <= now();
        } finally {
            lock.unlock();
        }
    }

    void stop() {
        stopped = true;
    }

    // ---- What the rounds ask for, under the lock ----------------------------------------------------------

    @Override
    public void send(Submission s, long timeout) {
        Hand hand = hands.get(s.txn);
        trace.sent(s, timeout);
        Hand.Order order = new Hand.Order(Hand.Kind.SEND, s, s.sent + timeout, null);
        if (!hand.tell(order)) {
            errands.add(to -> to.start(hand, order));
        }
    }

    @Override
    public void cancel(Submission s) {
        errands.add(to -> to.cancel(s));
    }

    @Override
    public void decline(Txn txn, long comeBack) {
        trace.finished(txn, "decline", now());
        hands.get(txn).tell(new Hand.Order(Hand.Kind.DECLINED, null, comeBack, null));
    }

    @Override
    public void rollBack(Txn txn) {
        trace.finished(txn, "rollback", now());
        hands.get(txn).tell(new Hand.Order(Hand.Kind.ROLLED_BACK, null, 0, null));
    }

    @Override
    public void ended(Txn txn) {
        trace.finished(txn, "over", now());
        trace.gone(txn);
        hands.remove(txn);
        if (gate != null) {
            gate.ended(txn);
        }
    }

    @Override
    public void probe(Host host) {
        trace.probe(host);
        errands.add(to -> to.probe(host));
    }

    @Override
    public void close(Host host) {
        errands.add(to -> to.closeIdle(host));
    }
}
