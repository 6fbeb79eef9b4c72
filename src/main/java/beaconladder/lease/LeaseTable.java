package beaconladder.lease;

import java.util.Map;
import java.util.TreeMap;

/**
 * The grantor: all leases, as a state machine that replicas of a log apply alike. It reads no clock; each ask comes
 * with the time and the clock bound that the leader stamped it with, so that a replay gives the same.
 *
 * <p>The source is Gray and Cheriton, Leases (1989); the token is Chubby's sequencer, and what Kleppmann calls a
 * fencing token. Kept: a grant ends by time alone, with the holder's count shortened and the grantor's lengthened by
 * the clock bound. Changed: one holder at a time, and a token that only grows, since a process can stand still between
 * its look at the clock and its act.
 *
 * @param clock the newest stamp; a leader whose clock is behind that of the one before it takes no time back
 * @param leases by task
 */
public record LeaseTable(long clock, Map<String, Lease> leases) {
    /** The state after an ask, and what is said to the asker. */
    public record Applied(LeaseTable next, LeaseResponse answer) {}

    /** No lease yet. */
    public static LeaseTable none() {
        return new LeaseTable(Long.MIN_VALUE, Map.of());
    }

    /** The state with this ask applied, stamped by the leader with its clock and the clock bound. */
    public Applied apply(LeaseRequest ask, long stamp, long bound) {
        LeaseTable now = new LeaseTable(Math.max(clock, stamp), leases);
        Lease lease = leases.getOrDefault(ask.task(), Lease.none(ask.task()));
        return switch (ask.kind()) {
            case TAKE -> now.take(ask, lease, bound);
            case RELEASE -> now.release(ask, lease);
            case HAND_OVER -> now.handOver(ask, lease, bound);
        };
    }

    private Applied take(LeaseRequest ask, Lease lease, long bound) {
        if (ask.holder().equals(lease.gaveUp()) && ask.number() < lease.gaveUpNumber()) {
            return refused(ask, LeaseResponse.Why.OVERTAKEN, lease, 0);
        }
        boolean mine = ask.holder().equals(lease.holder());
        boolean passesOn = !lease.heir().isEmpty()
                && clock <= lease.heirUntil()
                && !LeaseRequest.name(ask.holder()).equals(lease.heir());
        if (mine && clock <= lease.expiry()) {
            // One that asks without its token has not heard of its grant, or has stopped for want of an
            // answer:
            // were its time moved on, one that speaks and hears nothing would keep the task from all others.
            long expiry =
                    ask.token() == lease.token() ? Math.max(lease.expiry(), clock + ask.length()) : lease.expiry();
            return passesOn
                    ? refused(ask, LeaseResponse.Why.HANDED_OVER, lease, 0)
                    : granted(ask, lease.held(ask.holder(), lease.token(), expiry));
        }
        // Another one may act until its expiry by its own clock, which may be behind by the bound.
        if (!mine && !lease.free() && clock <= lease.expiry() + bound) {
            return refused(ask, LeaseResponse.Why.HELD, lease, lease.expiry() + bound - clock);
        }
        if (passesOn) {
            return refused(ask, LeaseResponse.Why.HELD, lease, lease.heirUntil() - clock);
        }
        // The same process after its expiry gets a new token too: what it sent under the old one may come
        // late.
        return granted(ask, lease.held(ask.holder(), lease.token() + 1, clock + ask.length()));
    }

    /** A token of 0 stands for whatever its holder holds: it gave up before it heard of a grant. */
    private Applied release(LeaseRequest ask, Lease lease) {
        boolean held = ask.holder().equals(lease.holder()) && (ask.token() == 0 || ask.token() == lease.token());
        // Remembered also where nothing is held: the take that it gives up may come behind it.
        return new Applied(
                with(held ? lease.free(ask.number()) : lease.gaveUp(ask.holder(), ask.number())),
                new LeaseResponse(
                        ask.task(),
                        ask.number(),
                        held ? LeaseResponse.Why.DONE : LeaseResponse.Why.NOT_HELD,
                        null,
                        held ? "" : lease.holder(),
                        0));
    }

    /** Kept for the heir until the holder's time is over, and then for as long as a lease is. */
    private Applied handOver(LeaseRequest ask, Lease lease, long bound) {
        long from = lease.free() ? clock : Math.max(clock, lease.expiry() + bound);
        return new Applied(
                with(lease.keptFor(ask.heir(), from + ask.length())),
                new LeaseResponse(
                        ask.task(), ask.number(), LeaseResponse.Why.DONE, null, lease.holder(), from - clock));
    }

    private Applied granted(LeaseRequest ask, Lease lease) {
        return new Applied(
                with(lease),
                new LeaseResponse(
                        ask.task(),
                        ask.number(),
                        LeaseResponse.Why.GRANTED,
                        new LeaseGrant(ask.task(), ask.holder(), lease.token(), lease.expiry()),
                        "",
                        0));
    }

    private Applied refused(LeaseRequest ask, LeaseResponse.Why why, Lease lease, long wait) {
        return new Applied(this, new LeaseResponse(ask.task(), ask.number(), why, null, lease.holder(), wait));
    }

    private LeaseTable with(Lease lease) {
        Map<String, Lease> all = new TreeMap<>(leases);
        all.put(lease.task(), lease);
        return new LeaseTable(clock, Map.copyOf(all));
    }
}
