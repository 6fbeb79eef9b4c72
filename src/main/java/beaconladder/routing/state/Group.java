package beaconladder.routing.state;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A primary and its replicas. */
public final class Group {
    public final int id;
    /** Which listed group of its router it is, counted from the first; less than 0 before it is listed. */
    public int listIndex = -1;
    /** The members that the endpoint list has named, in that order; one that is gone stays until it is let go. */
    public final List<Host> members = new ArrayList<>();
    /** The member taken for the primary, or null. */
    public Host primary;
    /** The newest position at which a member said that it is the primary. */
    public long primaryPosition = Long.MIN_VALUE;
    /** When the primary was last found to be none. */
    public long primaryLostNanos = Long.MIN_VALUE;
    /** When the present primary was found. */
    public long primaryFoundNanos = Long.MIN_VALUE;
    /** The member that the endpoint list last named as primary. */
    public Host listedPrimary;
    /** Requests that wait at this router. */
    public final Set<Request> queued = new LinkedHashSet<>();
    /** Whether anything has changed for them since they were last looked at. */
    public boolean changed;
    /** Whether that was since the last look at any group. */
    boolean changePending;
    /** Newest commit among the sessions that are no longer remembered one by one. */
    public long evictedCommitPosition = Long.MIN_VALUE;
    /** What a member bears of a group that is one member alone, in the unit of the two samples below. */
    public static final long WHOLE_SHARE = 1_000_000;
    /**
     * What one member bore of each of this router's recent requests of the group, and one warm member: a commit is the
     * work of all members that were there then, by equal parts; what did not commit nobody bore.
     */
    public final SampleWindow commitShares = new SampleWindow(32);

    public final SampleWindow warmCommitShares = new SampleWindow(32);
    /** Of the same requests: 1 for a commit at a warm member. */
    public final SampleWindow warmCommits = new SampleWindow(32);
    /** The requests that came in here lately: 0 for each, 1 once it needed the primary while that was warming-up. */
    public final SampleWindow arrivals = new SampleWindow(64);
    /** Times of recent answers from all members. */
    public final SampleWindow responseTimes = new SampleWindow(48);

    public Group(int id) {
        this.id = id;
    }

    /** How many members are listed as ready. */
    public int countReady() {
        int n = 0;
        for (Host host : members) {
            n += host.state == Host.State.READY ? 1 : 0;
        }
        return n;
    }

    /** The newest position that a member is known to have reached; Long.MIN_VALUE without any. */
    public long newestPosition() {
        long newest = Long.MIN_VALUE;
        for (Host host : members) {
            newest = Math.max(newest, host.position);
        }
        return newest;
    }

    /** Whether a write waits here. */
    public boolean hasQueuedWrite() {
        return queued.stream()
                .anyMatch(request -> request.requestClass.consistency() == RequestClass.Consistency.WRITE);
    }

    /** Its primary is none any more. */
    public void markPrimaryLost(long now) {
        primary = null;
        primaryLostNanos = now;
    }

    /** A member that is gone for good. */
    public void removeMember(Host host) {
        members.remove(host);
        listedPrimary = listedPrimary == host ? null : listedPrimary;
    }
}
