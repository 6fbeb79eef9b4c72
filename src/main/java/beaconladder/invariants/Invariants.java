package beaconladder.invariants;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.RequestClass.Idempotency;
import beaconladder.routing.state.SlowStartTicket;

/**
 * Checks each {@link Rule}, with the tolerances of the protocol; to be called under the lock of the routing decisions.
 */
public final class Invariants {
    /** The tolerance of the protocol on every time limit. */
    private static final long TOLERANCE_NANOS = 50_000_000L;
    /** How long after its client disconnected an attempt may still begin. */
    private static final long DISCONNECT_TOLERANCE_NANOS = 100_000_000L;
    /** By how much the timeout stated to a host may exceed the time left. */
    private static final long TIMEOUT_TOLERANCE_NANOS = 150_000_000L;
    /** How long after its deadline a response counts as missing. */
    private static final long OVERDUE_NANOS = 500_000_000L;
    /** The time within which a restarted router must be ready. */
    private static final long READY_LIMIT_NANOS = 10_000_000_000L;

    private final Violations violations;
    private final long drainGraceNanos;

    /**
     * Creates the checks, whose violations are counted in the given object.
     *
     * @param drainGraceNanos how long after the start of draining a host may still receive requests
     */
    public Invariants(Violations violations, long drainGraceNanos) {
        this.violations = violations;
        this.drainGraceNanos = drainGraceNanos;
    }

    /** Returns the object that counts the violations. */
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
                    "sent to a host that is draining or gone, ms since it was listed so: "
                            + millis(sent.beganNanos() - host.stateSinceNanos));
        }
        if (request.disconnectedNanos != Long.MAX_VALUE
                && sent.beganNanos() > request.disconnectedNanos + DISCONNECT_TOLERANCE_NANOS) {
            add(
                    Rule.SENDING,
                    attempt,
                    "sent after its client disconnected, ms: " + millis(sent.beganNanos() - request.disconnectedNanos));
        }
        if (sent.timeoutNanos() > request.expiryNanos - sent.endedNanos() + TIMEOUT_TOLERANCE_NANOS) {
            add(
                    Rule.SENDING,
                    attempt,
                    "sent with a timeout longer than the time left, ms: "
                            + millis(sent.timeoutNanos() - (request.expiryNanos - sent.endedNanos()))
                            + ", the write took, ms: " + millis(sent.endedNanos() - sent.beganNanos()));
        }
        if (attempt.slowStartTicket == SlowStartTicket.MISSING) {
            add(Rule.STARTING, attempt, "sent without a ticket to a host in slow start");
        }
        checkRetry(sent);
    }

    /** Checks that an attempt after one that may have run is a safe retry. */
    private void checkRetry(SentAttempt sent) {
        Request request = sent.attempt().request;
        Attempt executed = request.firstPossiblyExecutedExcept(sent.attempt());
        if (executed == null || executed.index > sent.attempt().index) {
            return;
        }
        if (request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            add(
                    Rule.REPEATING,
                    sent.attempt(),
                    "retry of a non-idempotent request that may have run at host " + executed.host.id);
        } else if (request.requestClass.idempotency() == Idempotency.WITH_KEY
                && sent.endedNanos() - executed.sentNanos
                        > request.requestClass.keyTtlNanos() + TIMEOUT_TOLERANCE_NANOS + TOLERANCE_NANOS) {
            add(
                    Rule.REPEATING,
                    sent.attempt(),
                    "retry after the TTL of the idempotency key, ms since the first attempt: "
                            + millis(sent.endedNanos() - executed.sentNanos));
        }
    }

    /** Checks a rejection, which tells the client that the request was not executed and may be retried. */
    public void checkRejection(Request request) {
        Attempt executed = request.firstPossiblyExecuted();
        boolean retrySafe = executed == null
                || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.requestClass.idempotency() == Idempotency.WITH_KEY
                        && request.requestClass.deduplicationScope() == RequestClass.DeduplicationScope.ALL;
        if (!retrySafe) {
            violations.add(
                    Rule.REPEATING,
                    "request " + request.sequenceNumber + " rejected though it may have run at host "
                            + executed.host.id);
        }
    }

    /**
     * Counts a request without a final answer whose response is overdue, and returns whether it is overdue. Not to be
     * called again for a request after it returned true, which would count it twice.
     */
    public boolean countIfOverdue(Request request, long nowNanos) {
        if (request.ended || nowNanos <= request.expiryNanos + OVERDUE_NANOS) {
            return false;
        }
        violations.add(
                Rule.CLOSING,
                "request " + request.sequenceNumber + " has no response, ms after its deadline: "
                        + millis(nowNanos - request.expiryNanos) + ", attempts: " + request.attempts.size()
                        + ", in flight: "
                        + request.attemptsInFlight());
        return true;
    }

    /** Checks a client connection that the router has closed, with the number of queries read but not responded to. */
    public void checkClosedConnection(String cause, int unanswered) {
        if (unanswered > 0) {
            violations.add(Rule.CLOSING, "connection closed as " + cause + " with unanswered queries: " + unanswered);
        }
    }

    /** Checks the time from the start of the process until the router was ready. */
    public void checkStartupTime(long startupNanos) {
        if (startupNanos > READY_LIMIT_NANOS) {
            violations.add(
                    Rule.STARTING, "router ready late, ms after the start of the process: " + millis(startupNanos));
        }
    }

    private void add(Rule rule, Attempt attempt, String description) {
        violations.add(
                rule,
                "request " + attempt.request.sequenceNumber + " attempt " + attempt.index + " at host "
                        + attempt.host.id + ": " + description);
    }

    private static long millis(long nanos) {
        return nanos / 1_000_000;
    }
}
