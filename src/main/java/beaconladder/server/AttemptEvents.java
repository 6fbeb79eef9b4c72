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

/** What exchanges with hosts ask and report: whether an attempt may be sent, that it was sent, how it ended. */
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

    /** Whether this attempt may still be sent; asked right before its first byte, as connecting takes time. */
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

    /** The time budget in nanoseconds to state to a host where so much of the attempt's time remains. */
    long statedBudgetNanos(long remainingNanos) {
        return router.advertisedTimeoutNanos(remainingNanos);
    }

    /** The query of an attempt has been written: checks the invariants on it. */
    void sent(SentAttempt sent) {
        lock.lock();
        try {
            monitor.invariants().checkAttempt(sent);
        } finally {
            lock.unlock();
        }
    }

    /** An attempt has ended: lets the policy decide what follows, and passes a committed response on. */
    void attemptEnded(Attempt attempt, Outcome outcome, HostReport answer, HostReport report, MessageWriter messages) {
        dispatcher.applyEvent(now -> {
            if (attempt.ended) {
                return;
            }
            trace.attemptEnded(attempt, outcome, now);
            monitor.counters().add(attempt.index == 0 ? "first_attempt" : "retry", outcome);
            boolean finished = attempt.request.ended || outcome == Outcome.COMMITTED;
            InFlightRequest request = pendingActions.find(attempt.request);
            decisionLoop.execute(
                    attempt.request, router.onAttemptEnded(attempt, outcome, finished, answer, report, now), now);
            if (request != null && outcome == Outcome.COMMITTED) {
                request.enqueue(InFlightRequest.Command.committed(attempt, messages));
            }
        });
    }

    /** A health check of this host has ended. */
    void healthCheckEnded(Host host, Outcome outcome, HostReport report) {
        dispatcher.applyEvent(now -> {
            trace.healthCheckEnded(host, outcome, host.lastProbeNanos, now);
            monitor.counters().add("probe", outcome);
            router.onHealthCheckEnded(host, outcome, report, now);
        });
    }
}
