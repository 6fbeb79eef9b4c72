package beaconladder.invariants;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.RequestClass.Idempotency;
import beaconladder.routing.state.SlowStartTicket;

/**
 * The checks of each {@link Rule}, with the tolerances of the protocol; called under the lock of the routing decisions.
 */
public final class Invariants {
    /** The protocol's tolerance on every time limit. */
    private static final long TOLERANCE_NANOS = 50_000_000L;
    /** An attempt may begin this long after its client disconnected. */
    private static final long DISCONNECT_TOLERANCE_NANOS = 100_000_000L;
    /** The timeout stated to a host may exceed the time left by this much. */
    private static final long TIMEOUT_TOLERANCE_NANOS = 150_000_000L;
    /** A response later than this after its deadline counts as missing. */
    private static final long OVERDUE_NANOS = 500_000_000L;
    /** A restarted router must be ready within this. */
    private static final long READY_LIMIT_NANOS = 10_000_000_000L;

    private final Violations violations;
    private final long drainGraceNanos;

    /**
     * Checks whose violations are counted here.
     *
     * @param drainGraceNanos how long after the start of draining a host may still receive requests
     */
    public Invariants(Violations violations, long drainGraceNanos) {
        this.violations = violations;
        this.drainGraceNanos = drainGraceNanos;
    }

    /** Where violations are counted. */
    public Violations violations() {
        return violations;
    }

    /** Checks an attempt whose bytes were written. */
    public void checkAttempt(SentAttempt sent) {
        Attempt attempt = sent.attempt();
        Request request = attempt.request;
        Host host = attempt.host;
        if (host.state != Host.State.READY
                && sent.beganNanos() > host.stateSinceNanos + drainGraceNanos + TOLERANCE_NANOS) {
            add(
                    Rule.SENDING,
                    attempt,
                    "to a host that leaves, ms after its listing: " + ms(sent.beganNanos() - host.stateSinceNanos));
        }
        if (request.disconnectedNanos != Long.MAX_VALUE
                && sent.beganNanos() > request.disconnectedNanos + DISCONNECT_TOLERANCE_NANOS) {
            add(
                    Rule.SENDING,
                    attempt,
                    "after its client had gone, ms: " + ms(sent.beganNanos() - request.disconnectedNanos));
        }
        if (sent.timeoutNanos() > request.expiryNanos - sent.endedNanos() + TIMEOUT_TOLERANCE_NANOS) {
            add(
                    Rule.SENDING,
                    attempt,
                    "with more time than the client has, ms: "
                            + ms(sent.timeoutNanos() - (request.expiryNanos - sent.endedNanos())));
        }
        if (attempt.slowStartTicket == SlowStartTicket.MISSING) {
            add(Rule.STARTING, attempt, "without a ticket to a host in slow start");
        }
        checkRetry(sent);
    }

    private void checkRetry(SentAttempt sent) {
        Request request = sent.attempt().request;
        Attempt executed = request.firstPossiblyExecutedExcept(sent.attempt());
        if (executed == null || executed.index > sent.attempt().index) {
            return;
        }
        if (request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            add(Rule.REPEATING, sent.attempt(), "of what must not run twice and may have run at " + executed.host.id);
        } else if (request.requestClass.idempotency() == Idempotency.WITH_KEY
                && sent.endedNanos() - executed.sentNanos
                        > request.requestClass.keyTtlNanos() + TIMEOUT_TOLERANCE_NANOS + TOLERANCE_NANOS) {
            add(
                    Rule.REPEATING,
                    sent.attempt(),
                    "behind the memory time, ms: " + ms(sent.endedNanos() - executed.sentNanos));
        }
    }

    /** Checks a rejection, by which the client learns that the request was not executed and may be retried. */
    public void checkRejection(Request request) {
        Attempt executed = request.firstPossiblyExecuted();
        boolean harmless = executed == null
                || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.requestClass.idempotency() == Idempotency.WITH_KEY
                        && request.requestClass.deduplicationScope() == RequestClass.DeduplicationScope.ALL;
        if (!harmless) {
            violations.add(
                    Rule.REPEATING,
                    "request " + request.sequenceNumber + " refused though it may have run at host "
                            + executed.host.id);
        }
    }

    /**
     * Counts a request still in flight whose response is overdue, and returns whether it is; to be called until it is.
     */
    public boolean countIfOverdue(Request request, long nowNanos) {
        if (request.ended || nowNanos <= request.expiryNanos + OVERDUE_NANOS) {
            return false;
        }
        violations.add(
                Rule.CLOSING,
                "request " + request.sequenceNumber + " has no answer, ms behind its time: "
                        + ms(nowNanos - request.expiryNanos) + ", attempts " + request.attempts.size() + ", out "
                        + request.attemptsInFlight());
        return true;
    }

    /** Checks a client connection that the router has closed, with the number of queries read but not responded to. */
    public void checkClosedConnection(String cause, int unanswered) {
        if (unanswered > 0) {
            violations.add(Rule.CLOSING, "a connection closed as " + cause + " with queries unanswered: " + unanswered);
        }
    }

    /** Checks the time from the start of the process until the router was ready. */
    public void checkStartupTime(long startupNanos) {
        if (startupNanos > READY_LIMIT_NANOS) {
            violations.add(Rule.STARTING, "ready late, ms after the start of the process: " + ms(startupNanos));
        }
    }

    private void add(Rule rule, Attempt attempt, String description) {
        violations.add(
                rule,
                "request " + attempt.request.sequenceNumber + " attempt " + attempt.index + " at host "
                        + attempt.host.id + ": " + description);
    }

    private static long ms(long nanos) {
        return nanos / 1_000_000;
    }
}
