package beaconladder.routing.state;

import java.util.ArrayList;
import java.util.List;

/** A client's request in the hands of one router. */
public final class Request {

    /** What a queued request may need to learn before it can go. */
    public enum ProbeNeed {
        NONE,
        REPLICA,
        PRIMARY
    }

    public final long id;
    public final RequestClass requestClass;
    public final Group group;
    /** The session's key; 0 for none. */
    public final long sessionKey;
    /** The position of the session's last write, as its client states it; Long.MIN_VALUE for none. */
    public final long sessionWritePosition;

    public final int tenant;
    public final boolean retriedByClient;
    public final long arrivedNanos;
    public final long expiryNanos;
    /** Which request of this router it is, counted from the start. */
    public final long sequenceNumber;

    public final List<Attempt> attempts = new ArrayList<>();
    /** The log position that its session needs; Long.MIN_VALUE for none. */
    public long sessionTarget = Long.MIN_VALUE;
    /** The log position below which a member lacks what was copied to it; Long.MIN_VALUE for none. */
    public long minPosition = Long.MIN_VALUE;
    /** When an answer stops being in time. */
    public long slaEndNanos;
    /** What asking a member could bring to it while it is held. */
    public ProbeNeed probeNeed = ProbeNeed.NONE;
    /** Probes sent for its sake, and when the last one was. */
    public int probesSent;

    public long lastProbeNanos;
    public boolean registered;
    /** Whether it has drawn for a ticket at a warming-up primary. */
    public boolean ticketDrawn;
    /** Before then it is not sent again, as this machine had no connection to give. */
    public long retryNotBeforeNanos = Long.MIN_VALUE;
    /** Attempts that never left this machine. */
    public int localFaults;

    public boolean ended;
    /** When its client was seen to have gone; Long.MAX_VALUE while it is there. */
    public long disconnectedNanos = Long.MAX_VALUE;
    /** When it is to be looked at again. */
    public long wakeupNanos = Long.MAX_VALUE;

    public Request(
            long id,
            RequestClass requestClass,
            Group group,
            long sessionKey,
            long sessionWritePosition,
            int tenant,
            boolean retriedByClient,
            long arrivedNanos,
            long expiryNanos,
            long sequenceNumber) {
        this.id = id;
        this.requestClass = requestClass;
        this.group = group;
        this.sessionKey = sessionKey;
        this.sessionWritePosition = sessionWritePosition;
        this.tenant = tenant;
        this.retriedByClient = retriedByClient;
        this.arrivedNanos = arrivedNanos;
        this.expiryNanos = expiryNanos;
        this.sequenceNumber = sequenceNumber;
    }

    /** How many attempts are still out. */
    public int attemptsInFlight() {
        int n = 0;
        for (Attempt attempt : attempts) {
            if (!attempt.ended) {
                n++;
            }
        }
        return n;
    }

    /** Whether one of them is out at this host. */
    public boolean isInFlightAt(Host host) {
        return attempts.stream().anyMatch(attempt -> attempt.host == host && !attempt.ended);
    }

    /** The first attempt that may have run, or null. */
    public Attempt firstPossiblyExecuted() {
        return firstPossiblyExecutedExcept(null);
    }

    /** The first attempt but this one that may have run, or null. */
    public Attempt firstPossiblyExecutedExcept(Attempt excluded) {
        for (Attempt attempt : attempts) {
            if (attempt != excluded && !attempt.neverRan) {
                return attempt;
            }
        }
        return null;
    }
}
