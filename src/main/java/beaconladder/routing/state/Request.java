package beaconladder.routing.state;

import java.util.ArrayList;
import java.util.List;

/** A client's request at one router. */
public final class Request {

    /** Which hosts should be probed for a queued request. */
    public enum ProbeNeed {
        NONE,
        REPLICA,
        PRIMARY
    }

    public final long id;
    public final RequestClass requestClass;
    public final Group group;
    /** The key of its session; 0 for none. */
    public final long sessionKey;
    /** The position of the session's last write as stated by the client; Long.MIN_VALUE for none. */
    public final long sessionWritePosition;

    public final int tenant;
    public final boolean retriedByClient;
    public final long arrivedNanos;
    public final long expiryNanos;
    /** The number of this request, counted from the start of the router. */
    public final long sequenceNumber;

    /** The requests of its client connection; one of its own where the connection is not known. */
    public ClientRequests clientRequests = new ClientRequests();

    public final List<Attempt> attempts = new ArrayList<>();
    /** The log position that its session required on arrival; Long.MIN_VALUE for none. */
    public long sessionTarget = Long.MIN_VALUE;
    /** The log position before which a host lacks data that a migration copied; Long.MIN_VALUE for none. */
    public long minPosition = Long.MIN_VALUE;
    /** When the SLA time ends: a later answer is late. */
    public long slaEndNanos;
    /** Which hosts a probe could help this request to be sent to, while it is queued. */
    public ProbeNeed probeNeed = ProbeNeed.NONE;
    /** The number of probes sent on behalf of this request, and when the last one was sent. */
    public int probesSent;

    public long lastProbeNanos;
    /** Whether its arrival has been recorded. */
    public boolean registered;
    /** Whether it has drawn for a ticket of a primary in slow start. */
    public boolean ticketDrawn;
    /** The earliest time of the next attempt after the local machine could not open a connection. */
    public long retryNotBeforeNanos = Long.MIN_VALUE;
    /** The number of attempts that failed on the local machine. */
    public int localFaults;

    /** Whether it has its final answer, or its client has disconnected. */
    public boolean ended;
    /** Whether its client has disconnected: set at once, before the policy is told of it. */
    public volatile boolean clientDisconnected;
    /** When its client was found to have disconnected; Long.MAX_VALUE while it is connected. */
    public long disconnectedNanos = Long.MAX_VALUE;
    /** When it is to be routed again; Long.MAX_VALUE when only by an event. */
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

    /** Returns the number of attempts in flight. */
    public int attemptsInFlight() {
        int count = 0;
        for (Attempt attempt : attempts) {
            if (!attempt.ended) {
                count++;
            }
        }
        return count;
    }

    /** Whether an attempt is in flight at this host. */
    public boolean isInFlightAt(Host host) {
        return attempts.stream().anyMatch(attempt -> attempt.host == host && !attempt.ended);
    }

    /** Returns the first attempt that may have run, or null. */
    public Attempt firstPossiblyExecuted() {
        return firstPossiblyExecutedExcept(null);
    }

    /** Returns the first attempt other than this one that may have run, or null. */
    public Attempt firstPossiblyExecutedExcept(Attempt excluded) {
        for (Attempt attempt : attempts) {
            if (attempt != excluded && !attempt.neverRan) {
                return attempt;
            }
        }
        return null;
    }
}
