package beaconladder.serve;

import beaconladder.Logic;
import beaconladder.api.Rounds;
import beaconladder.api.Router;
import beaconladder.cells.Confined;
import beaconladder.cells.Gate;
import beaconladder.cells.Pass;
import beaconladder.fleet.Group;
import beaconladder.fleet.Host;
import beaconladder.fleet.Txn;
import beaconladder.fleet.TxnType;
import beaconladder.pg.Statement;
import beaconladder.roster.Watch;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the module, its one lock and its one clock. Each event is told under the lock, then the rounds are played; what
 * has to be done on sockets is done by others, or here once the lock is free.
 */
final class Desk implements Watch.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Desk.class);

    private final ReentrantLock lock = new ReentrantLock();
    private final Timer timer = new Timer(this, lock);
    private final Router router;
    private final Rounds rounds;
    /** Which cell a txn belongs to and whether it may go there; both null where there are no cells. */
    private final Gate gate;

    private final CellDesk cells;
    private final Orders orders;
    private final Monitor monitor;
    private final AttemptEvents attempts;
    private final Set<String> ids = new HashSet<>();
    private final HostList list;
    private final Places places;
    private final long anchor = System.currentTimeMillis() * 1_000_000 - System.nanoTime();
    private volatile Errands lines;
    private final Trace trace = new Trace();
    private long taken;

    Desk(long seed, Map<String, String> start, Gate gate) {
        this(seed, start, gate, new Monitor(start));
    }

    Desk(long seed, Map<String, String> start, Gate gate, Monitor monitor) {
        this.gate = gate;
        this.monitor = monitor;
        router = gate == null ? new Logic(seed, start) : new Confined(new Logic(seed, start), gate);
        orders = new Orders(this, gate, trace, monitor);
        rounds = new Rounds(router, orders);
        list = new HostList(router, trace, start.getOrDefault("zones", ""));
        cells = gate == null ? null : new CellDesk(this, gate, lock);
        places = new Places(start);
        attempts = new AttemptEvents(this, lock, router, rounds, orders, trace, monitor);
        trace.settings(start);
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

    Monitor monitor() {
        return monitor;
    }

    /** For exchanges with hosts. */
    AttemptEvents attempts() {
        return attempts;
    }

    Places places() {
        return places;
    }

    /** Whether txns of this type write. */
    boolean writes(int type) {
        return router.type(type).read() == TxnType.Read.WRITE;
    }

    double value(int type) {
        return router.type(type).value();
    }

    Group group(int number) {
        return list.group(number);
    }

    InetSocketAddress address(Host host) {
        return list.address(host);
    }

    long keepIdle() {
        return router.keepIdle();
    }

    int held() {
        lock.lock();
        try {
            return list.held() + orders.size() + ids.size();
        } finally {
            lock.unlock();
        }
    }

    boolean knowsHosts() {
        return !list.isEmpty();
    }

    boolean confined() {
        return gate != null;
    }

    /** What there is to ask where there are cells; null where there are none. */
    CellDesk cells() {
        return cells;
    }

    /** The longest that a txn may be in hand, in nanoseconds. */
    long longest() {
        return gate == null ? Long.MAX_VALUE : gate.longest();
    }

    /**
     * Takes a txn in, with its leave where there are cells: its task is told through the hand what to do, and releases
     * its id at the end. Null where another txn of this id is in hand.
     */
    Hand take(
            String id, int type, Group group, Statement statement, long written, long arrived, long expiry, Pass pass) {
        lock.lock();
        Hand hand;
        try {
            if (!ids.add(id)) {
                return null;
            }
            hand = new Hand(
                    new Txn(
                            taken,
                            router.type(type),
                            group,
                            statement.session(),
                            written,
                            places.tenant(statement.value("t")),
                            "1".equals(statement.value("r")),
                            arrived,
                            expiry,
                            taken++),
                    statement);
            orders.add(hand);
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

    /** The client of this txn has left. */
    void left(Hand hand) {
        tell(now -> {
            hand.txn.leftAt = Math.min(hand.txn.leftAt, now);
            if (!hand.txn.ended) {
                trace.finished(hand.txn, "left", now);
                rounds.act(hand.txn, router.left(hand.txn, now), now);
                hand.tell(new Hand.Order(Hand.Kind.LEFT, null, 0, null));
            }
        });
    }

    @Override
    public void listed(boolean whole, List<Watch.Entry> entries) {
        List<Host> moved = new ArrayList<>();
        tell(now -> moved.addAll(list.listed(whole, entries, now)));
        if (lines != null) {
            moved.forEach(lines::closeIdle);
        }
    }

    /** Lets go of the hosts that are gone and that nothing needs any more. */
    void sweep() {
        lock.lock();
        try {
            list.sweep(now());
            orders.checkOverdue(now());
        } finally {
            lock.unlock();
        }
    }

    void tell(LongConsumer news) {
        List<Consumer<Errands>> then;
        List<String> traced;
        lock.lock();
        try {
            long now = now();
            news.accept(now);
            timer.due(rounds.settle(now));
            then = orders.errands();
            traced = trace.take();
        } finally {
            lock.unlock();
        }
        trace.flush(traced);
        then.forEach(this::run);
    }

    /** One that fails keeps no other from being done. */
    private void run(Consumer<Errands> errand) {
        try {
            errand.accept(lines);
        } catch (RuntimeException | Error e) {
            LOG.error("an errand goes by a fault of this program", e);
        }
    }

    Runnable timer() {
        return timer;
    }

    void stop() {
        timer.stop();
    }
}
