package beaconladder.routing.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Holds the times at which requests are to be routed again and a host may be probed next, and the groups with queued
 * requests. Only these groups are examined: going through all groups at each event would cost more the larger the fleet
 * is, and find nothing in the others.
 */
public final class WakeupQueue {
    private final TreeSet<Request> wakeups =
            new TreeSet<>(Comparator.<Request>comparingLong(request -> request.wakeupNanos)
                    .thenComparingLong(request -> request.sequenceNumber));
    /** The listed groups with queued requests, in the order in which groups were first listed. */
    private final TreeSet<Group> groupsWithQueued = new TreeSet<>(Comparator.comparingInt(group -> group.listIndex));
    /** The groups that have changed since the last {@link #takeChanged}. */
    private final List<Group> pendingChanges = new ArrayList<>();

    private int listedGroupCount;
    /** When a host may be probed next for a queued request. */
    public long nextProbeNanos = Long.MAX_VALUE;

    /** Registers a group with a listed member; the first call sets its place in the order. */
    public void registerGroup(Group group) {
        if (group.listIndex < 0) {
            group.listIndex = listedGroupCount++;
            if (!group.queued.isEmpty()) {
                groupsWithQueued.add(group);
            }
        }
    }

    /** Records a change after which queued requests of the group may be sent. */
    public void markChanged(Group group) {
        group.changed = true;
        if (!group.changePending) {
            group.changePending = true;
            pendingChanges.add(group);
        }
    }

    /** Adds a request to the queued ones of its group. */
    public void enqueue(Request request) {
        Group group = request.group;
        if (group.queued.isEmpty()) {
            // Without queued requests the flag may be out of date: only a change since the last takeChanged counts.
            group.changed = group.changePending;
            if (group.listIndex >= 0) {
                groupsWithQueued.add(group);
            }
        }
        group.queued.add(request);
    }

    /** Returns the listed groups with queued requests, in their order; not a copy. */
    public Collection<Group> groupsWithQueued() {
        return groupsWithQueued;
    }

    /** Returns the listed groups with queued requests that have changed since the last call. */
    public List<Group> takeChanged() {
        for (Group group : pendingChanges) {
            group.changePending = false;
            group.changed &= !group.queued.isEmpty();
        }
        pendingChanges.clear();
        List<Group> changed = new ArrayList<>();
        for (Group group : groupsWithQueued) {
            if (group.changed) {
                group.changed = false;
                changed.add(group);
            }
        }
        return changed;
    }

    /** Sets the time at which this request is to be routed again. */
    public void schedule(Request request, long atNanos) {
        wakeups.remove(request);
        request.wakeupNanos = atNanos;
        wakeups.add(request);
    }

    /** Removes this request from the queue of its group and cancels its wakeup. */
    public void remove(Request request) {
        wakeups.remove(request);
        request.wakeupNanos = Long.MAX_VALUE;
        if (request.group.queued.remove(request) && request.group.queued.isEmpty()) {
            groupsWithQueued.remove(request.group);
        }
    }

    /** Removes and returns the requests whose wakeup is due, in the order of time. */
    public Set<Request> takeDue(long now) {
        Set<Request> due = new LinkedHashSet<>();
        while (!wakeups.isEmpty() && wakeups.first().wakeupNanos <= now) {
            Request request = wakeups.pollFirst();
            request.wakeupNanos = Long.MAX_VALUE;
            due.add(request);
        }
        return due;
    }

    /** Returns when the next request or probe is due; Long.MAX_VALUE for never. */
    public long nextWakeupNanos() {
        return Math.min(wakeups.isEmpty() ? Long.MAX_VALUE : wakeups.first().wakeupNanos, nextProbeNanos);
    }
}
