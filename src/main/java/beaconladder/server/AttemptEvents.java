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

/** What exchanges with hosts ask and tell: whether an attempt may go, that it went, how it ended. */
final class AttemptEvents {
    private final RequestDispatcher desk;
    private final ReentrantLock lock;
    private final Router router;
    private final DecisionLoop rounds;
    private final PendingActions orders;
    private final EventTrace trace;
    private final Monitor monitor;

    AttemptEvents(
            RequestDispatcher desk,
            ReentrantLock lock,
            Router router,
            DecisionLoop rounds,
            PendingActions orders,
            EventTrace trace,
            Monitor monitor) {
        this.desk = desk;
        this.lock = lock;
        this.router = router;
        this.rounds = rounds;
        this.orders = orders;
        this.trace = trace;
        this.monitor = monitor;
    }

    /** Whether this attempt may still go; asked right before its bytes. */
    boolean mayGo(Attempt attempt) {
        lock.lock();
        try {
            DispatchCheck check = router.checkDispatch(attempt, desk.nowNanos());
            if (!check.isAllowed()) {
                monitor.counters().add("held_back", check);
                trace.heldBack(attempt, check, desk.nowNanos());
            }
            return check.isAllowed();
        } finally {
            lock.unlock();
        }
    }

    /** How long a host is told that its answer is waited for, where so much time is left; in nanoseconds. */
    long toldTime(long left) {
        return router.advertisedTimeoutNanos(left);
    }

    /** The bytes of an attempt have gone. */
    void sent(SentAttempt sent) {
        lock.lock();
        try {
            monitor.invariants().sent(sent);
        } finally {
            lock.unlock();
        }
    }

    void ended(Attempt attempt, Outcome outcome, HostReport answer, HostReport report, MessageWriter messages) {
        desk.applyEvent(now -> {
            if (attempt.ended) {
                return;
            }
            trace.ended(attempt, outcome, now);
            monitor.counters().add(attempt.index == 0 ? "first_attempt" : "retry", outcome);
            boolean settled = attempt.request.ended || outcome == Outcome.COMMITTED;
            InFlightRequest hand = orders.of(attempt.request);
            rounds.execute(attempt.request, router.onAttemptEnded(attempt, outcome, settled, answer, report, now), now);
            if (hand != null && outcome == Outcome.COMMITTED) {
                hand.enqueue(InFlightRequest.Command.committed(attempt, messages));
            }
        });
    }

    void probed(Host host, Outcome outcome, HostReport report) {
        desk.applyEvent(now -> {
            trace.probed(host, outcome, host.lastProbeNanos, now);
            monitor.counters().add("probe", outcome);
            router.onHealthCheckEnded(host, outcome, report, now);
        });
    }
}
