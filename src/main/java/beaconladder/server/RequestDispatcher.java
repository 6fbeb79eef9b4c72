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
 * Owns the routing policy, its one lock and its one clock. Each event is applied under the lock, followed by the
 * decisions that are due; what these require on sockets is done by the requests' tasks, or here once the lock is
 * released.
 */
final class RequestDispatcher implements EndpointWatch.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);

    private final ReentrantLock lock = new ReentrantLock();
    private final WakeupTimer timer = new WakeupTimer(this, lock);
    private final Router router;
    private final DecisionLoop decisionLoop;
    /** Admission to cells; both null where no cells are configured. */
    private final CellAdmission admission;

    private final CellDispatcher cells;
    private final PendingActions pendingActions;
    private final Monitor monitor;
    private final AttemptEvents attemptEvents;
    private final Set<String> inFlightIds = new HashSet<>();
    private final EndpointList endpoints;
    private final SettingIndex settingIndex;
    private final long nanoTimeOffset = System.currentTimeMillis() * 1_000_000 - System.nanoTime();
    private volatile HostActions hostActions;
    private final EventTrace trace = new EventTrace();
    private long submittedCount;

    RequestDispatcher(long seed, Map<String, String> settings, CellAdmission admission) {
        this(seed, settings, admission, new Monitor(settings));
    }

    RequestDispatcher(long seed, Map<String, String> settings, CellAdmission admission, Monitor monitor) {
        this.admission = admission;
        this.monitor = monitor;
        router = admission == null
                ? new RoutingPolicy(seed, settings)
                : new CellRouter(new RoutingPolicy(seed, settings), admission);
        pendingActions = new PendingActions(this, admission, trace, monitor);
        decisionLoop = new DecisionLoop(router, pendingActions);
        endpoints = new EndpointList(router, trace, settings.getOrDefault("zones", ""));
        cells = admission == null ? null : new CellDispatcher(this, admission, lock);
        settingIndex = new SettingIndex(settings);
        attemptEvents = new AttemptEvents(this, lock, router, decisionLoop, pendingActions, trace, monitor);
        trace.settings(settings);
    }

    /** Sets who carries out actions on connections to hosts; before the first event that may need one. */
    void setHostActions(HostActions actions) {
        hostActions = actions;
    }

    /** Unix time in nanoseconds; never runs backwards. */
    long nowNanos() {
        return nanoTimeOffset + System.nanoTime();
    }

    /** Converts a time of this clock to System.nanoTime's. */
    long toNanoTime(long unixNanos) {
        return unixNanos - nanoTimeOffset;
    }

    Monitor monitor() {
        return monitor;
    }

    /** What exchanges with hosts ask and report. */
    AttemptEvents attemptEvents() {
        return attemptEvents;
    }

    SettingIndex settingIndex() {
        return settingIndex;
    }

    /** Whether requests of this class write. */
    boolean isWrite(int classIndex) {
        return router.requestClass(classIndex).consistency() == RequestClass.Consistency.WRITE;
    }

    double priorityWeight(int classIndex) {
        return router.requestClass(classIndex).weight();
    }

    Group group(int number) {
        return endpoints.group(number);
    }

    InetSocketAddress address(Host host) {
        return endpoints.address(host);
    }

    /** How long a connection to a host may have been idle and still be used. */
    long keepIdleNanos() {
        return router.maxIdleNanos();
    }

    /** How many hosts, requests and ids are held, to detect leaks. */
    int trackedCount() {
        lock.lock();
        try {
            return endpoints.trackedCount() + pendingActions.size() + inFlightIds.size();
        } finally {
            lock.unlock();
        }
    }

    boolean hasEndpoints() {
        return !endpoints.isEmpty();
    }

    boolean hasCells() {
        return admission != null;
    }

    /** Admission to cells and their placement; null where no cells are configured. */
    CellDispatcher cells() {
        return cells;
    }

    /** The longest that a request may be in flight. */
    long maxRequestNanos() {
        return admission == null ? Long.MAX_VALUE : admission.maxInFlightNanos();
    }

    /**
     * Accepts a request and decides on its first attempt. Its task takes its commands from the result, and releases the
     * id at the end.
     *
     * @return null where another request of this id is in flight
     */
    InFlightRequest submit(RequestParameters parameters) {
        lock.lock();
        InFlightRequest inFlight;
        try {
            if (!inFlightIds.add(parameters.id())) {
                return null;
            }
            inFlight = InFlightRequest.of(
                    submittedCount++,
                    parameters,
                    router.requestClass(parameters.classIndex()),
                    settingIndex.tenantIndex(parameters.statement().parameter("t")));
            pendingActions.add(inFlight);
            trace.submitted(inFlight.request, parameters.id(), nowNanos());
            if (parameters.permit() != null) {
                admission.requestStarted(inFlight.request, parameters.permit());
            }
        } finally {
            lock.unlock();
        }
        applyEvent(now -> decisionLoop.execute(inFlight.request, router.route(inFlight.request, now), now));
        return inFlight;
    }

    /** The request of this id has been answered. */
    void releaseId(String id) {
        lock.lock();
        try {
            inFlightIds.remove(id);
        } finally {
            lock.unlock();
        }
    }

    /** The client of this request has disconnected or cancelled it. */
    void abandon(InFlightRequest inFlight) {
        applyEvent(now -> {
            inFlight.request.disconnectedNanos = Math.min(inFlight.request.disconnectedNanos, now);
            if (!inFlight.request.ended) {
                trace.requestEvent(inFlight.request, "left", now);
                decisionLoop.execute(inFlight.request, router.onClientDisconnected(inFlight.request, now), now);
                inFlight.enqueue(InFlightRequest.Command.clientGone());
            }
        });
    }

    @Override
    public void onEndpoints(boolean complete, List<EndpointWatch.Entry> entries) {
        List<Host> stale = new ArrayList<>();
        applyEvent(now -> stale.addAll(endpoints.listed(complete, entries, now)));
        if (hostActions != null) {
            stale.forEach(hostActions::closeIdle);
        }
    }

    /** Forgets the hosts that are gone and that no request needs, and checks for overdue requests. */
    void sweep() {
        lock.lock();
        try {
            endpoints.sweep(nowNanos());
            pendingActions.checkOverdue(nowNanos());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Applies an event under the lock, carries out the decisions that are due, and runs their actions on sockets
     * without it.
     *
     * @param event is given the current time of this clock
     */
    void applyEvent(LongConsumer event) {
        List<Consumer<HostActions>> actions;
        List<String> traceLines;
        lock.lock();
        try {
            long now = nowNanos();
            event.accept(now);
            timer.schedule(decisionLoop.processDue(now));
            actions = pendingActions.drainHostActions();
            traceLines = trace.drain();
        } finally {
            lock.unlock();
        }
        trace.flush(traceLines);
        actions.forEach(this::run);
    }

    /** A failing action does not prevent the others. */
    private void run(Consumer<HostActions> action) {
        try {
            action.accept(hostActions);
        } catch (RuntimeException | Error e) {
            LOG.error("an action on a host fails by an internal error", e);
        }
    }

    Runnable timer() {
        return timer;
    }

    void stop() {
        timer.stop();
    }
}
