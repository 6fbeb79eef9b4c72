package beaconladder.routing.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A database host, as one router knows it. */
public final class Host {

    /** The state of a host in the endpoint list. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    public final int id;
    public final Group group;
    public final int zone;

    public State state = State.READY;
    /** When its listed state last changed; Long.MIN_VALUE for never. */
    public long stateSinceNanos = Long.MIN_VALUE;
    /** When it last started, by the hosts' clock; 0 for long ago. */
    public long launchedNanos;
    /** When this router was first notified of that start. */
    public long startNotifiedNanos;
    /** The newest log position that it is known to have applied; Long.MIN_VALUE for none. */
    public long position = Long.MIN_VALUE;
    /** The position at which it last stated in an answer that it is a replica; Long.MIN_VALUE for never. */
    public long replicaReportPosition = Long.MIN_VALUE;
    /** When the last attempt ended that may have run here but whose answer did not arrive; Long.MIN_VALUE for never. */
    public long lastUnansweredNanos = Long.MIN_VALUE;
    /** How far its position was behind the hosts' clock at its last report. */
    public long lagNanos;
    /** Whether it has answered an attempt or a probe since the later start of it and of this router. */
    public boolean contacted;

    /** When it last answered an attempt; Long.MIN_VALUE for never. */
    public long lastResponseNanos = Long.MIN_VALUE;
    /** The number of requests of all routers in flight here by its last report; less than 0 without a report. */
    public double reportedInFlight = -1;
    /** When it last reported its position or load, or answered a probe. */
    public long lastReportNanos = -(1L << 60);

    public long lastProbeNanos = Long.MIN_VALUE;
    public boolean probeInFlight;
    /** When it last rejected a request as full. */
    public long lastRejectionNanos = -(1L << 60);
    /** When a trial of this host was last drawn while it was suspect. */
    public long lastTrialNanos;

    /** Attempts of this router in flight here, oldest first. */
    public final Set<Attempt> inFlight = new LinkedHashSet<>();
    /** Attempts that are no longer waited for and may still be running here, oldest first. */
    public final List<Attempt> abandoned = new ArrayList<>();
    /** Recent response times in nanoseconds, each with the attempts in flight and abandoned here at its send. */
    public final SampleWindow responseTimes = new SampleWindow(16);
    /** The newest response time of a committed attempt, and when that response arrived. */
    public long newestResponseDurationNanos;

    public long newestResponseAtNanos = Long.MIN_VALUE;
    /** Recent ends of attempts and probes: 1 for an answer to an attempt, 0 for none. */
    public final SampleWindow responses = new SampleWindow(16);
    /** When each unused ticket for a send during slow start was drawn, oldest first. */
    public final ArrayDeque<Long> slowStartTickets = new ArrayDeque<>();

    public long lastSentNanos = -(1L << 60);
    /** How the last attempts ended: 1 for a commit within the SLA time or a MISS, 0 for a failure. */
    public final SampleWindow successes = new SampleWindow(16);

    public Host(int id, Group group, int zone) {
        this.id = id;
        this.group = group;
        this.zone = zone;
    }

    /** Returns its reported number of requests in flight plus those that this router has sent since the report. */
    public double load() {
        return reportedInFlight + countInFlightSentSince(lastReportNanos);
    }

    /** Returns the number of attempts in flight that were sent at or after this time. */
    public int countInFlightSentSince(long sinceNanos) {
        int count = 0;
        for (Attempt attempt : inFlight) {
            count += attempt.sentNanos >= sinceNanos ? 1 : 0;
        }
        return count;
    }

    /** Returns how long the attempts in flight have waited since its last response, in total. */
    public long totalWaitNanos(long now) {
        long totalNanos = 0;
        for (Attempt attempt : inFlight) {
            totalNanos += now - Math.max(attempt.sentNanos, lastResponseNanos);
        }
        return totalNanos;
    }
}
