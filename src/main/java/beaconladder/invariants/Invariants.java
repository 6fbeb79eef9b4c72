package beaconladder.invariants;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import beaconladder.routing.state.RequestClass;
import beaconladder.routing.state.RequestClass.Idempotency;
import beaconladder.routing.state.SlowStartTicket;

/** The checks of each rule, with the slack that the protocol gives; under the lock of the decisions. */
public final class Invariants {
    /** The protocol's slack on every time limit. */
    private static final long SLACK = 50_000_000L;
    /** An attempt may begin so long after its client closed. */
    private static final long CLOSE_SLACK = 100_000_000L;
    /** The time that is passed on may exceed what is left by so much. */
    private static final long TIME_SLACK = 150_000_000L;
    /** An answer later than this after its time is a lost one. */
    private static final long LATE_ANSWER = 500_000_000L;
    /** A restarted router is to be ready within this. */
    private static final long READY_WITHIN = 10_000_000_000L;

    private final Violations violations;
    private final long drainGrace;

    /**
     * Checks that count here.
     *
     * @param drainGrace how long after its listing a draining host may still be sent to, in nanoseconds
     */
    public Invariants(Violations violations, long drainGrace) {
        this.violations = violations;
        this.drainGrace = drainGrace;
    }

    public Violations violations() {
        return violations;
    }

    /** The bytes of an attempt have gone. */
    public void sent(SentAttempt sent) {
        Attempt attempt = sent.attempt();
        Request txn = attempt.request;
        Host host = attempt.host;
        if (host.state != Host.State.READY && sent.began() > host.stateSinceNanos + drainGrace + SLACK) {
            add(
                    Rule.SENDING,
                    attempt,
                    "to a host that leaves, ms after its listing: " + ms(sent.began() - host.stateSinceNanos));
        }
        if (txn.disconnectedNanos != Long.MAX_VALUE && sent.began() > txn.disconnectedNanos + CLOSE_SLACK) {
            add(Rule.SENDING, attempt, "after its client had gone, ms: " + ms(sent.began() - txn.disconnectedNanos));
        }
        if (sent.passedTime() > txn.expiryNanos - sent.ended() + TIME_SLACK) {
            add(
                    Rule.SENDING,
                    attempt,
                    "with more time than the client has, ms: "
                            + ms(sent.passedTime() - (txn.expiryNanos - sent.ended())));
        }
        if (attempt.slowStartTicket == SlowStartTicket.MISSING) {
            add(Rule.STARTING, attempt, "without a ticket to a host in slow start");
        }
        checkRepeat(sent);
    }

    private void checkRepeat(SentAttempt sent) {
        Request txn = sent.attempt().request;
        Attempt ran = txn.firstPossiblyExecutedExcept(sent.attempt());
        if (ran == null || ran.index > sent.attempt().index) {
            return;
        }
        if (txn.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            add(Rule.REPEATING, sent.attempt(), "of what must not run twice and may have run at " + ran.host.id);
        } else if (txn.requestClass.idempotency() == Idempotency.WITH_KEY
                && sent.ended() - ran.sentNanos > txn.requestClass.keyTtlNanos() + TIME_SLACK + SLACK) {
            add(Rule.REPEATING, sent.attempt(), "behind the memory time, ms: " + ms(sent.ended() - ran.sentNanos));
        }
    }

    /** The client is told that this has not run and may be tried again. */
    public void refused(Request txn) {
        Attempt ran = txn.firstPossiblyExecuted();
        boolean harmless = ran == null
                || txn.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || txn.requestClass.idempotency() == Idempotency.WITH_KEY
                        && txn.requestClass.deduplicationScope() == RequestClass.DeduplicationScope.ALL;
        if (!harmless) {
            violations.add(
                    Rule.REPEATING,
                    "request " + txn.sequenceNumber + " refused though it may have run at host " + ran.host.id);
        }
    }

    /** A request is still in flight; whether its answer is too late, which is counted once. */
    public boolean overdue(Request txn, long now) {
        if (txn.ended || now <= txn.expiryNanos + LATE_ANSWER) {
            return false;
        }
        violations.add(
                Rule.CLOSING,
                "request " + txn.sequenceNumber + " has no answer, ms behind its time: " + ms(now - txn.expiryNanos)
                        + ", attempts " + txn.attempts.size() + ", out " + txn.attemptsInFlight());
        return true;
    }

    /** The router has closed a client's connection on which so many queries that it had read have no answer. */
    public void closed(String cause, int unanswered) {
        if (unanswered > 0) {
            violations.add(Rule.CLOSING, "a connection closed as " + cause + " with queries unanswered: " + unanswered);
        }
    }

    /** The router serves, so long after its process began. */
    public void ready(long nanos) {
        if (nanos > READY_WITHIN) {
            violations.add(Rule.STARTING, "ready late, ms after the start of the process: " + ms(nanos));
        }
    }

    private void add(Rule rule, Attempt attempt, String what) {
        violations.add(
                rule,
                "request " + attempt.request.sequenceNumber + " attempt " + attempt.index + " at host "
                        + attempt.host.id + ": " + what);
    }

    private static long ms(long nanos) {
        return nanos / 1_000_000;
    }
}
