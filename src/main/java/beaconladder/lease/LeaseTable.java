package beaconladder.lease;

import beaconladder.lease.LeaseResponse.Outcome;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leases of all tasks, as a deterministic state machine over a replicated log. It reads no clock: the leader
 * attaches the time and the clock bound to each request, so that every replica and every replay computes the same
 * state.
 *
 * <p>The design follows Gray and Cheriton, Leases (1989); the token is Chubby's sequencer, which Kleppmann calls a
 * fencing token. As there, a grant ends by time alone, with the holder's time shortened and the server's lengthened by
 * the clock bound. Differences: a task has one holder at a time, and its token only increases, because a process can be
 * paused between its check of the clock and its operation.
 *
 * @param clockNanos the newest timestamp of a request, in Unix nanoseconds; it never decreases, even if a new leader's
 *     clock is behind
 * @param leases the leases by task
 */
public record LeaseTable(@JsonProperty("clock") long clockNanos, Map<String, Lease> leases) {
    /** The state after a request, and the response to it. */
    public record Transition(LeaseTable next, LeaseResponse response) {}

    /** Returns a table without leases. */
    public static LeaseTable empty() {
        return new LeaseTable(Long.MIN_VALUE, Map.of());
    }

    /**
     * Applies a request.
     *
     * @param timestampNanos the leader's clock when it received the request, in Unix nanoseconds
     * @param clockBoundNanos the leader's clock bound
     */
    public Transition apply(LeaseRequest request, long timestampNanos, long clockBoundNanos) {
        LeaseTable current = new LeaseTable(Math.max(clockNanos, timestampNanos), leases);
        Lease lease = leases.getOrDefault(request.task(), Lease.initial(request.task()));
        return switch (request.kind()) {
            case ACQUIRE -> current.acquire(request, lease, clockBoundNanos);
            case RELEASE -> current.release(request, lease);
            case HAND_OVER -> current.handOver(request, lease, clockBoundNanos);
        };
    }

    private Transition acquire(LeaseRequest request, Lease lease, long clockBoundNanos) {
        if (lease.wasReleasedAfter(request.holder(), request.number())) {
            return refused(request, Outcome.SUPERSEDED, lease, 0);
        }
        boolean isHolder = request.holder().equals(lease.holder());
        if (isHolder && clockNanos <= lease.expiryNanos()) {
            return renew(request, lease);
        }
        // Another holder may continue until the expiry by its own clock, which may be behind by the bound.
        if (!isHolder && !lease.hasNoHolder() && clockNanos <= lease.expiryNanos() + clockBoundNanos) {
            return refused(request, Outcome.HELD, lease, lease.expiryNanos() + clockBoundNanos - clockNanos);
        }
        if (lease.isReservedForAnother(request.holder(), clockNanos)) {
            return refused(request, Outcome.HELD, lease, lease.reservedUntilNanos() - clockNanos);
        }
        // The former holder gets a new token as well: an operation under the old one may arrive late.
        return granted(
                request, lease.grantedTo(request.holder(), lease.token() + 1, clockNanos + request.lengthNanos()));
    }

    private Transition renew(LeaseRequest request, Lease lease) {
        if (lease.isReservedForAnother(request.holder(), clockNanos)) {
            return refused(request, Outcome.HANDED_OVER, lease, 0);
        }
        // A holder that does not send its token has not received the grant, or stopped because responses were missing.
        // Its expiry stays: otherwise a process that can send but not receive would block the task for all others.
        long expiryNanos = request.token() == lease.token()
                ? Math.max(lease.expiryNanos(), clockNanos + request.lengthNanos())
                : lease.expiryNanos();
        return granted(request, lease.grantedTo(request.holder(), lease.token(), expiryNanos));
    }

    /** Applies a release. A token of 0 releases any grant: the process released before it received the grant. */
    private Transition release(LeaseRequest request, Lease lease) {
        if (request.holder().equals(lease.holder()) && (request.token() == 0 || request.token() == lease.token())) {
            return new Transition(
                    withLease(lease.releasedByHolder(request.number())),
                    LeaseResponse.withoutGrant(request, Outcome.DONE, "", 0));
        }
        // Recorded even if nothing is held: the request that it cancels may arrive later.
        return new Transition(
                withLease(lease.releasedByNonHolder(request.holder(), request.number())),
                LeaseResponse.withoutGrant(request, Outcome.NOT_HELD, lease.holder(), 0));
    }

    /** Reserves the task for the successor until the current lease has expired, and for one lease length after that. */
    private Transition handOver(LeaseRequest request, Lease lease, long clockBoundNanos) {
        long availableAtNanos =
                lease.hasNoHolder() ? clockNanos : Math.max(clockNanos, lease.expiryNanos() + clockBoundNanos);
        return new Transition(
                withLease(lease.reservedFor(request.successor(), availableAtNanos + request.lengthNanos())),
                LeaseResponse.withoutGrant(request, Outcome.DONE, lease.holder(), availableAtNanos - clockNanos));
    }

    private Transition granted(LeaseRequest request, Lease lease) {
        return new Transition(withLease(lease), LeaseResponse.granted(request, lease));
    }

    private Transition refused(LeaseRequest request, Outcome outcome, Lease lease, long availableInNanos) {
        return new Transition(this, LeaseResponse.withoutGrant(request, outcome, lease.holder(), availableInNanos));
    }

    private LeaseTable withLease(Lease lease) {
        Map<String, Lease> next = new TreeMap<>(leases);
        next.put(lease.task(), lease);
        return new LeaseTable(clockNanos, Map.copyOf(next));
    }
}
