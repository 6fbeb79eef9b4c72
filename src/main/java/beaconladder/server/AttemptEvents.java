package beaconladder.server;

import beaconladder.invariants.SentAttempt;
import beaconladder.pg.MessageWriter;
import beaconladder.routing.api.DecisionLoop;
import beaconladder.routing.api.DispatchCheck;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Outcome;
import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import java.util.concurrent.locks.ReentrantLock;

/** Applies the events of exchanges with hosts: decides whether an attempt may be sent, and records how it ended. */
final class AttemptEvents {
    private final RequestDispatcher dispatcher;
    private final ReentrantLock lock;
    private final Router router;
    private final DecisionLoop decisionLoop;
    private final PendingActions pendingActions;
    private final EventTrace trace;
    private final Monitor monitor;

    AttemptEvents(
            RequestDispatcher dispatcher,
            ReentrantLock lock,
            Router router,
            DecisionLoop decisionLoop,
            PendingActions pendingActions,
            EventTrace trace,
            Monitor monitor) {
        this.dispatcher = dispatcher;
        this.lock = lock;
        this.router = router;
        this.decisionLoop = decisionLoop;
        this.pendingActions = pendingActions;
        this.trace = trace;
        this.monitor = monitor;
    }

    /** Returns whether this attempt may still be sent; called right before its first byte, as connecting takes time. */
    boolean maySend(Attempt attempt) {
        lock.lock();
        try {
            DispatchCheck check = router.checkDispatch(attempt, dispatcher.nowNanos());
            if (!check.isAllowed()) {
                monitor.counters().add("held_back", check);
                trace.heldBack(attempt, check, dispatcher.nowNanos());
            }
            return check.isAllowed();
        } finally {
            lock.unlock();
        }
    }

    /** The time budget in nanoseconds to state to a host, for an attempt with this much time remaining. */
    long advertisedTimeoutNanos(long remainingNanos) {
        return router.advertisedTimeoutNanos(remainingNanos);
    }

    /** Checks the invariants on an attempt whose query has been written. */
    void attemptSent(SentAttempt sent) {
        lock.lock();
        try {
            monitor.invariants().checkAttempt(sent);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records the end of an attempt, carries out what the policy decides on it, and passes a committed response on.
     *
     * @param responseReport what the response itself states about the host
     * @param loadReport what the load report sent with the response states
     * @param messages the response, or null where it is not complete
     */
    void attemptEnded(
            Attempt attempt,
            Outcome outcome,
            HostReport responseReport,
            HostReport loadReport,
            MessageWriter messages) {
        dispatcher.applyEvent(now -> {
            if (attempt.ended) {
                return;
            }
            trace.attemptEnded(attempt, outcome, now);
            monitor.counters().add(attempt.index == 0 ? "first_attempt" : "retry", outcome);
            boolean settled = attempt.request.ended || outcome == Outcome.COMMITTED;
            InFlightRequest request = pendingActions.find(attempt.request);
            decisionLoop.execute(
                    attempt.request,
                    router.onAttemptEnded(attempt, outcome, settled, responseReport, loadReport, now),
                    now);
            if (request != null && outcome == Outcome.COMMITTED) {
                request.enqueue(InFlightRequest.Command.committed(attempt, messages));
            }
        });
    }

    /** Records the end of a health check of this host. */
    void healthCheckEnded(Host host, Outcome outcome, HostReport report) {
        dispatcher.applyEvent(now -> {
            trace.healthCheckEnded(host, outcome, host.lastProbeNanos, now);
            monitor.counters().add("probe", outcome);
            router.onHealthCheckEnded(host, outcome, report, now);
        });
    }
}
