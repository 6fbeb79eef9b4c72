package beaconladder.routing.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A database host, as one router knows it. */
public final class Host {

    /** What the endpoint list says of a host. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    public final int id;
    public final Group group;
    public final int zone;

    public State state = State.READY;
    /** When the list last gave it another state. */
    public long stateSinceNanos = Long.MIN_VALUE;
    /** When it last started; 0 for long ago. */
    public long launchedNanos;
    /** When this router was first notified of that start. */
    public long startNotifiedNanos;
    /** Newest log position that it is known to have applied. */
    public long position = Long.MIN_VALUE;
    /** The newest position at which it said itself that it is a replica. */
    public long replicaReportPosition = Long.MIN_VALUE;
    /** When the last attempt to it ended whose answer, if it gave one, was not heard; by this router. */
    public long lastUnansweredNanos = Long.MIN_VALUE;
    /** How far its position lay behind the clock at its last answer. */
    public long lagNanos;
    /** Whether it has answered this router, or a probe, since this router or it started. */
    public boolean contacted;

    public long lastResponseNanos = Long.MIN_VALUE;
    /** How many requests of all routers it last said that it held; less than 0 for never said. */
    public double reportedInFlight = -1;
    /** When it last said something of itself, in an answer or to a probe. */
    public long lastReportNanos = -(1L << 60);

    public long lastProbeNanos = Long.MIN_VALUE;
    public boolean probeInFlight;
    /** When it last turned a request away as full. */
    public long lastRejectionNanos = -(1L << 60);
    /** When it was last drawn for, while suspect. */
    public long lastTrialNanos;

    /** Attempts out, oldest first. */
    public final Set<Attempt> inFlight = new LinkedHashSet<>();
    /** Attempts that are waited for no longer and may still be in work there, oldest first. */
    public final List<Attempt> abandoned = new ArrayList<>();
    /** Times of recent answers, each with the attempts that were out here when it was sent. */
    public final SampleWindow responseTimes = new SampleWindow(16);
    /** How long the newest committed answer took, and when it came. */
    public long newestResponseDurationNanos;

    public long newestResponseAtNanos = Long.MIN_VALUE;
    /** Recent ends: 1 for an answer, 0 for none. */
    public final SampleWindow responses = new SampleWindow(16);
    /** When each of the sends that a warming-up host may still get was granted, oldest first. */
    public final ArrayDeque<Long> slowStartTickets = new ArrayDeque<>();

    public long lastSentNanos = -(1L << 60);
    /** How the last attempts ended: 1 for an answer, 0 for none or a full queue. */
    public final SampleWindow successes = new SampleWindow(16);

    public Host(int id, Group group, int zone) {
        this.id = id;
        this.group = group;
        this.zone = zone;
    }

    /** What it said that it holds, and what this router has sent it since. */
    public double load() {
        return reportedInFlight + countInFlightSentSince(lastReportNanos);
    }

    /** How many of the attempts out were sent at or after this time. */
    public int countInFlightSentSince(long time) {
        int n = 0;
        for (Attempt attempt : inFlight) {
            n += attempt.sentNanos >= time ? 1 : 0;
        }
        return n;
    }

    /** How long the attempts out have waited since it last spoke, added up. */
    public long totalWaitNanos(long now) {
        long totalNanos = 0;
        for (Attempt attempt : inFlight) {
            totalNanos += now - Math.max(attempt.sentNanos, lastResponseNanos);
        }
        return totalNanos;
    }
}
