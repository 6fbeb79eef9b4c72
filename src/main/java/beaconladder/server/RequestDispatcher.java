package beaconladder.server;

import beaconladder.cells.CellAdmission;
import beaconladder.cells.CellRouter;
import beaconladder.discovery.EndpointWatch;
import beaconladder.routing.RoutingPolicy;
import beaconladder.routing.api.DecisionLoop;
import beaconladder.routing.api.Router;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.RequestClass;
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
final class RequestDispatcher implements EndpointWatch.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);

    private final ReentrantLock lock = new ReentrantLock();
    private final WakeupTimer timer = new WakeupTimer(this, lock);
    private final Router router;
    private final DecisionLoop rounds;
    /** Which cell a txn belongs to and whether it may go there; both null where there are no cells. */
    private final CellAdmission gate;

    private final CellDispatcher cells;
    private final PendingActions orders;
    private final Monitor monitor;
    private final AttemptEvents attempts;
    private final Set<String> ids = new HashSet<>();
    private final EndpointList list;
    private final SettingIndex places;
    private final long anchor = System.currentTimeMillis() * 1_000_000 - System.nanoTime();
    private volatile HostActions lines;
    private final EventTrace trace = new EventTrace();
    private long taken;

    RequestDispatcher(long seed, Map<String, String> start, CellAdmission gate) {
        this(seed, start, gate, new Monitor(start));
    }

    RequestDispatcher(long seed, Map<String, String> start, CellAdmission gate, Monitor monitor) {
        this.gate = gate;
        this.monitor = monitor;
        router = gate == null ? new RoutingPolicy(seed, start) : new CellRouter(new RoutingPolicy(seed, start), gate);
        orders = new PendingActions(this, gate, trace, monitor);
        rounds = new DecisionLoop(router, orders);
        list = new EndpointList(router, trace, start.getOrDefault("zones", ""));
        cells = gate == null ? null : new CellDispatcher(this, gate, lock);
        places = new SettingIndex(start);
        attempts = new AttemptEvents(this, lock, router, rounds, orders, trace, monitor);
        trace.settings(start);
    }

    void setHostActions(HostActions to) {
        lines = to;
    }

    /** Unix time in nanoseconds; never runs backwards. */
    long nowNanos() {
        return anchor + System.nanoTime();
    }

    /** The moment of the desk's clock on System.nanoTime's. */
    long toNanoTime(long moment) {
        return moment - anchor;
    }

    Monitor monitor() {
        return monitor;
    }

    /** For exchanges with hosts. */
    AttemptEvents attemptEvents() {
        return attempts;
    }

    SettingIndex settingIndex() {
        return places;
    }

    /** Whether txns of this type write. */
    boolean isWrite(int type) {
        return router.requestClass(type).consistency() == RequestClass.Consistency.WRITE;
    }

    double priorityWeight(int type) {
        return router.requestClass(type).weight();
    }

    Group group(int number) {
        return list.group(number);
    }

    InetSocketAddress address(Host host) {
        return list.address(host);
    }

    long keepIdleNanos() {
        return router.maxIdleNanos();
    }

    int trackedCount() {
        lock.lock();
        try {
            return list.trackedCount() + orders.size() + ids.size();
        } finally {
            lock.unlock();
        }
    }

    boolean hasEndpoints() {
        return !list.isEmpty();
    }

    boolean hasCells() {
        return gate != null;
    }

    /** What there is to ask where there are cells; null where there are none. */
    CellDispatcher cells() {
        return cells;
    }

    /** The longest that a txn may be in hand, in nanoseconds. */
    long maxRequestNanos() {
        return gate == null ? Long.MAX_VALUE : gate.maxInFlightNanos();
    }

    /**
     * Takes a txn in, with its leave where there are cells: its task is told through the hand what to do, and releases
     * its id at the end. Null where another txn of this id is in hand.
     */
    InFlightRequest submit(RequestParameters parameters) {
        lock.lock();
        InFlightRequest hand;
        try {
            if (!ids.add(parameters.id())) {
                return null;
            }
            hand = InFlightRequest.of(
                    taken++,
                    parameters,
                    router.requestClass(parameters.classIndex()),
                    places.tenantIndex(parameters.statement().value("t")));
            orders.add(hand);
            trace.submitted(hand.request, parameters.id(), nowNanos());
            if (parameters.permit() != null) {
                gate.requestStarted(hand.request, parameters.permit());
            }
        } finally {
            lock.unlock();
        }
        applyEvent(now -> rounds.execute(hand.request, router.route(hand.request, now), now));
        return hand;
    }

    /** The txn of this id has had its answer. */
    void releaseId(String id) {
        lock.lock();
        try {
            ids.remove(id);
        } finally {
            lock.unlock();
        }
    }

    /** The client of this txn has left. */
    void abandon(InFlightRequest hand) {
        applyEvent(now -> {
            hand.request.disconnectedNanos = Math.min(hand.request.disconnectedNanos, now);
            if (!hand.request.ended) {
                trace.requestEvent(hand.request, "left", now);
                rounds.execute(hand.request, router.onClientDisconnected(hand.request, now), now);
                hand.enqueue(InFlightRequest.Command.clientGone());
            }
        });
    }

    @Override
    public void onEndpoints(boolean complete, List<EndpointWatch.Entry> entries) {
        List<Host> moved = new ArrayList<>();
        applyEvent(now -> moved.addAll(list.listed(complete, entries, now)));
        if (lines != null) {
            moved.forEach(lines::closeIdle);
        }
    }

    /** Lets go of the hosts that are gone and that nothing needs any more. */
    void sweep() {
        lock.lock();
        try {
            list.sweep(nowNanos());
            orders.checkOverdue(nowNanos());
        } finally {
            lock.unlock();
        }
    }

    void applyEvent(LongConsumer news) {
        List<Consumer<HostActions>> then;
        List<String> traced;
        lock.lock();
        try {
            long now = nowNanos();
            news.accept(now);
            timer.schedule(rounds.processDue(now));
            then = orders.errands();
            traced = trace.drain();
        } finally {
            lock.unlock();
        }
        trace.flush(traced);
        then.forEach(this::run);
    }

    /** One that fails keeps no other from being done. */
    private void run(Consumer<HostActions> errand) {
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
