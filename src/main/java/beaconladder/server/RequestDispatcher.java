package beaconladder.server;

import beaconladder.cells.CellAdmission;
import beaconladder.cells.CellRouter;
import beaconladder.discovery.EndpointWatch;
import beaconladder.routing.RoutingPolicy;
import beaconladder.routing.api.DecisionLoop;
import beaconladder.routing.api.Router;
import beaconladder.routing.state.ClientRequests;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.RequestClass;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns the routing policy, with the one lock and the one clock for all of its state. Each event is applied under the
 * lock, followed by the decisions that are due. I/O that the decisions require is done without the lock: by the
 * requests' tasks, or by the thread that applied the event.
 */
final class RequestDispatcher implements EndpointWatch.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);

    private final ReentrantLock lock = new ReentrantLock();
    private final WakeupTimer timer = new WakeupTimer(this, lock);
    private final Router router;
    private final DecisionLoop decisionLoop;
    /** Null where no cells are configured. */
    private final CellAdmission admission;
    /** Null where no cells are configured. */
    private final CellDispatcher cells;

    private final PendingActions pendingActions;
    private final Monitor monitor;
    private final AttemptEvents attemptEvents;
    private final RequestIds requestIds = new RequestIds();

    private final EndpointList endpoints;
    private final SettingIndex settingIndex;
    /** Unix time minus System.nanoTime, in nanoseconds. */
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

    /** Sets the handler of actions on connections to hosts; called before the first event that may require one. */
    void setHostActions(HostActions actions) {
        hostActions = actions;
    }

    /** The Unix time in nanoseconds; it never runs backwards. */
    long nowNanos() {
        return nanoTimeOffset + System.nanoTime();
    }

    /** Converts a time of this clock to one of System.nanoTime's clock. */
    long toNanoTime(long unixNanos) {
        return unixNanos - nanoTimeOffset;
    }

    Monitor monitor() {
        return monitor;
    }

    /** The interface for exchanges with hosts. */
    AttemptEvents attemptEvents() {
        return attemptEvents;
    }

    SettingIndex settingIndex() {
        return settingIndex;
    }

    /** Returns whether requests of this class write. */
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

    /** The longest time for which a connection to a host may have been idle and still be used. */
    long maxIdleNanos() {
        return router.maxIdleNanos();
    }

    /** The number of hosts, requests and ids held, to detect leaks. */
    int trackedCount() {
        lock.lock();
        try {
            return endpoints.trackedCount() + pendingActions.size() + requestIds.inFlightCount();
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

    /** Admission to cells and the placement; null where no cells are configured. */
    CellDispatcher cells() {
        return cells;
    }

    /** The longest time for which a request may be in flight. */
    long maxRequestNanos() {
        return admission == null ? Long.MAX_VALUE : admission.maxInFlightNanos();
    }

    /**
     * Accepts a request and decides on its first attempt. The request's task takes its commands from the result, and
     * releases the id once the request is answered.
     *
     * @return the request, or null where another one with this id is in flight or may have run
     */
    InFlightRequest submit(RequestParameters parameters) {
        return submit(parameters, new ClientRequests());
    }

    /** Does the same for a request of a connection with these requests in flight. */
    InFlightRequest submit(RequestParameters parameters, ClientRequests clientRequests) {
        lock.lock();
        InFlightRequest inFlight;
        try {
            if (!requestIds.tryUse(parameters.id(), nowNanos())) {
                return null;
            }
            inFlight = InFlightRequest.of(
                    submittedCount++,
                    parameters,
                    router.requestClass(parameters.classIndex()),
                    settingIndex.tenantIndex(parameters.statement().parameter("t")));
            inFlight.request.clientRequests = clientRequests;
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

    /** Releases the id of a request whose answer has been written. */
    void releaseAnsweredId(InFlightRequest inFlight) {
        requestIds.release(inFlight.id);
    }

    /** Releases the id of a request whose client has left, at once or after the time that the policy sets. */
    void releaseAbandonedId(InFlightRequest inFlight) {
        lock.lock();
        try {
            long now = nowNanos();
            requestIds.release(inFlight.id, router.idReservedUntilNanos(inFlight.request, now), now);
        } finally {
            lock.unlock();
        }
    }

    /** Notifies the policy and the request's task that the client has disconnected or has cancelled the request. */
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
        applyEvent(now -> stale.addAll(endpoints.update(complete, entries, now)));
        if (hostActions != null) {
            stale.forEach(hostActions::closeIdle);
        }
    }

    /** Removes the hosts that are gone and that no request needs, and counts the overdue requests. */
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
     * Applies an event and carries out the decisions that are due, under the lock; then runs their actions on
     * connections to hosts without it.
     *
     * @param event accepts the current time of this clock
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
        actions.forEach(this::runHostAction);
    }

    /** Runs an action; one that fails does not prevent the others. */
    private void runHostAction(Consumer<HostActions> action) {
        try {
            action.accept(hostActions);
        } catch (RuntimeException | Error e) {
            LOG.error("internal error in an action on a host", e);
        }
    }

    Runnable timer() {
        return timer;
    }

    void stop() {
        timer.stop();
    }
}
