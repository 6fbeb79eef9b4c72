package beaconladder.routing.state;

import java.util.ArrayList;
import java.util.List;

/** A client's txn in the hands of one router. */
public final class Request {

    /** What a held txn may need to learn before it can go. */
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
    /** The position of the session's last write, as its client tells; Long.MIN_VALUE for none. */
    public final long sessionWritePosition;

    public final int tenant;
    public final boolean retriedByClient;
    public final long arrivedNanos;
    public final long expiryNanos;
    /** Which txn of this router it is, counted from the start. */
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
    /** Whether it has drawn for a ticket at a cold primary. */
    public boolean ticketDrawn;
    /** Before then it is not sent again, as this machine had no connection to give. */
    public long retryNotBeforeNanos = Long.MIN_VALUE;
    /** Submissions that never left this machine. */
    public int localFaults;

    public boolean ended;
    /** When its client was seen to have gone; Long.MAX_VALUE while it is there. */
    public long disconnectedNanos = Long.MAX_VALUE;
    /** When it is to be looked at again. */
    public long wakeupNanos = Long.MAX_VALUE;

    public Request(
            long id,
            RequestClass type,
            Group group,
            long session,
            long written,
            int tenant,
            boolean repeated,
            long arrived,
            long expiry,
            long number) {
        this.id = id;
        this.requestClass = type;
        this.group = group;
        this.sessionKey = session;
        this.sessionWritePosition = written;
        this.tenant = tenant;
        this.retriedByClient = repeated;
        this.arrivedNanos = arrived;
        this.expiryNanos = expiry;
        this.sequenceNumber = number;
    }

    /** How many submissions are still out. */
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

    /** The first submission that may have run, or null. */
    public Attempt firstPossiblyExecuted() {
        return firstPossiblyExecutedExcept(null);
    }

    /** The first submission but this one that may have run, or null. */
    public Attempt firstPossiblyExecutedExcept(Attempt next) {
        for (Attempt attempt : attempts) {
            if (attempt != next && !attempt.neverRan) {
                return attempt;
            }
        }
        return null;
    }
}
