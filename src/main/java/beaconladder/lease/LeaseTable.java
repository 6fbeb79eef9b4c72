package beaconladder.lease;

import beaconladder.lease.LeaseResponse.Outcome;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leases of all tasks, as a state machine that the replicas of a log apply alike. It reads no clock: each request
 * comes with the time and the clock bound that the leader stamped it with, so that a replay gives the same result.
 *
 * <p>The source is Gray and Cheriton, Leases (1989); the token is Chubby's sequencer, and what Kleppmann calls a
 * fencing token. As there, a grant ends by time alone, with the holder's time shortened and the server's lengthened by
 * the clock bound. Changed here: a task has one holder at a time, and its token only grows, since a process can be
 * paused between its check of the clock and its act.
 *
 * @param clockNanos the newest stamp, in Unix nanoseconds; it never goes back, also where a new leader's clock is
 *     behind
 * @param leases by task
 */
public record LeaseTable(@JsonProperty("clock") long clockNanos, Map<String, Lease> leases) {
    /** The state after a request, and the response to it. */
    public record Applied(LeaseTable next, LeaseResponse response) {}

    /** No lease yet. */
    public static LeaseTable empty() {
        return new LeaseTable(Long.MIN_VALUE, Map.of());
    }

    /** The state after this request, stamped by the leader with its clock and the clock bound, in nanoseconds. */
    public Applied apply(LeaseRequest request, long stampNanos, long clockBoundNanos) {
        LeaseTable current = new LeaseTable(Math.max(clockNanos, stampNanos), leases);
        Lease lease = leases.getOrDefault(request.task(), Lease.none(request.task()));
        return switch (request.kind()) {
            case ACQUIRE -> current.acquire(request, lease, clockBoundNanos);
            case RELEASE -> current.release(request, lease);
            case HAND_OVER -> current.handOver(request, lease, clockBoundNanos);
        };
    }

    private Applied acquire(LeaseRequest request, Lease lease, long clockBoundNanos) {
        if (lease.wasReleasedAfter(request.holder(), request.number())) {
            return refused(request, Outcome.SUPERSEDED, lease, 0);
        }
        boolean isHolder = request.holder().equals(lease.holder());
        if (isHolder && clockNanos <= lease.expiryNanos()) {
            return renew(request, lease);
        }
        // Another process may act until its expiry by its own clock, which may be behind by the bound.
        if (!isHolder && !lease.hasNoHolder() && clockNanos <= lease.expiryNanos() + clockBoundNanos) {
            return refused(request, Outcome.HELD, lease, lease.expiryNanos() + clockBoundNanos - clockNanos);
        }
        if (lease.isReservedForAnother(request.holder(), clockNanos)) {
            return refused(request, Outcome.HELD, lease, lease.reservedUntilNanos() - clockNanos);
        }
        // The same process after its expiry gets a new token too: an act under the old one may arrive late.
        return granted(request, lease.heldBy(request.holder(), lease.token() + 1, clockNanos + request.lengthNanos()));
    }

    private Applied renew(LeaseRequest request, Lease lease) {
        if (lease.isReservedForAnother(request.holder(), clockNanos)) {
            return refused(request, Outcome.HANDED_OVER, lease, 0);
        }
        // A holder without its token has not received the grant, or has stopped for want of a response. Were its
        // expiry extended, a process that can send but not receive would keep the task from all others.
        long expiryNanos = request.token() == lease.token()
                ? Math.max(lease.expiryNanos(), clockNanos + request.lengthNanos())
                : lease.expiryNanos();
        return granted(request, lease.heldBy(request.holder(), lease.token(), expiryNanos));
    }

    /** A token of 0 covers whatever the process holds: it released before it received a grant. */
    private Applied release(LeaseRequest request, Lease lease) {
        if (request.holder().equals(lease.holder()) && (request.token() == 0 || request.token() == lease.token())) {
            return new Applied(
                    with(lease.released(request.number())), LeaseResponse.withoutGrant(request, Outcome.DONE, "", 0));
        }
        // Remembered also where nothing is held: the request that it cancels may arrive after it.
        return new Applied(
                with(lease.withReleaseOf(request.holder(), request.number())),
                LeaseResponse.withoutGrant(request, Outcome.NOT_HELD, lease.holder(), 0));
    }

    /** Reserved for the successor until the holder's time is over, and then for the length of a lease. */
    private Applied handOver(LeaseRequest request, Lease lease, long clockBoundNanos) {
        long availableAtNanos =
                lease.hasNoHolder() ? clockNanos : Math.max(clockNanos, lease.expiryNanos() + clockBoundNanos);
        return new Applied(
                with(lease.reservedFor(request.successor(), availableAtNanos + request.lengthNanos())),
                LeaseResponse.withoutGrant(request, Outcome.DONE, lease.holder(), availableAtNanos - clockNanos));
    }

    private Applied granted(LeaseRequest request, Lease lease) {
        return new Applied(with(lease), LeaseResponse.granted(request, lease));
    }

    private Applied refused(LeaseRequest request, Outcome outcome, Lease lease, long availableInNanos) {
        return new Applied(this, LeaseResponse.withoutGrant(request, outcome, lease.holder(), availableInNanos));
    }

    private LeaseTable with(Lease lease) {
        Map<String, Lease> all = new TreeMap<>(leases);
        all.put(lease.task(), lease);
        return new LeaseTable(clockNanos, Map.copyOf(all));
    }
}
