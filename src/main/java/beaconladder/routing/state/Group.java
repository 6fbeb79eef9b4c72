package beaconladder.routing.state;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A primary and its replicas, as one router knows them. */
public final class Group {
    public final int id;
    /** The index of this group in the order in which the router's groups were first listed; -1 before it is listed. */
    public int listIndex = -1;
    /** The listed members in the order in which they were first listed; one that is gone stays until it is removed. */
    public final List<Host> members = new ArrayList<>();
    /** The member that is presumed to be the primary, or null. */
    public Host primary;
    /** The newest position at which a member reported that it is the primary. */
    public long primaryPosition = Long.MIN_VALUE;
    /** When the group last lost its primary, in nanoseconds; Long.MIN_VALUE for never. */
    public long primaryLostNanos = Long.MIN_VALUE;
    /** When the present primary was found, in nanoseconds; Long.MIN_VALUE for never. */
    public long primaryFoundNanos = Long.MIN_VALUE;
    /** The member that the endpoint list last named as primary. */
    public Host listedPrimary;
    /** The requests that wait at this router, in the order in which they were last queued. */
    public final Set<Request> queued = new LinkedHashSet<>();
    /** Whether anything has changed since the queued requests were last routed. */
    public boolean changed;
    /** Whether the group is among the pending changes of the {@link WakeupQueue}. */
    boolean changePending;
    /** The newest commit position of the sessions that are no longer kept one by one. */
    public long evictedCommitPosition = Long.MIN_VALUE;
    /** A whole request in the unit of the two samples below: a millionth of a request. */
    public static final long WHOLE_SHARE = 1_000_000;
    /**
     * The share of each recent request of the group that one member served, and the share that one warm member served.
     * A commit counts in equal parts for all members that were ready or warm at that time, any other end as 0.
     */
    public final SampleWindow commitShares = new SampleWindow(32);

    public final SampleWindow warmCommitShares = new SampleWindow(32);
    /** The ends of the same requests: 1 for a commit at a warm member, otherwise 0. */
    public final SampleWindow warmCommits = new SampleWindow(32);
    /** Recent arrivals: 0 for each request, and 1 when one first needs a primary that is in slow start. */
    public final SampleWindow arrivals = new SampleWindow(64);
    /** Recent response times of all members, in nanoseconds, each with this router's attempts in flight there. */
    public final SampleWindow responseTimes = new SampleWindow(48);

    public Group(int id) {
        this.id = id;
    }

    /** Returns the number of members that are listed as ready. */
    public int countReady() {
        int count = 0;
        for (Host host : members) {
            count += host.state == Host.State.READY ? 1 : 0;
        }
        return count;
    }

    /** Returns the newest position that a member is known to have reached; Long.MIN_VALUE without any. */
    public long newestPosition() {
        long newest = Long.MIN_VALUE;
        for (Host host : members) {
            newest = Math.max(newest, host.position);
        }
        return newest;
    }

    /** Whether a write waits at this router. */
    public boolean hasQueuedWrite() {
        return queued.stream()
                .anyMatch(request -> request.requestClass.consistency() == RequestClass.Consistency.WRITE);
    }

    /** Records that the presumed primary is no longer the primary. */
    public void markPrimaryLost(long now) {
        primary = null;
        primaryLostNanos = now;
    }

    /** Removes a member that is no longer listed. */
    public void removeMember(Host host) {
        members.remove(host);
        listedPrimary = listedPrimary == host ? null : listedPrimary;
    }
}
