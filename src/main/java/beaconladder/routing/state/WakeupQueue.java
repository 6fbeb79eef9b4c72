package beaconladder.routing.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * When requests are to be looked at again, when a member may be asked next for the sake of one, and which groups are to
 * be looked at. That are those with requests on hold: a look at every group at each event would cost the more the
 * larger the fleet is, and find nothing in the others.
 */
public final class WakeupQueue {
    private final TreeSet<Request> wakeups =
            new TreeSet<>(Comparator.<Request>comparingLong(request -> request.wakeupNanos)
                    .thenComparingLong(request -> request.sequenceNumber));
    /** Listed groups with requests on hold, in the order in which groups were first listed. */
    private final TreeSet<Group> groupsWithQueued = new TreeSet<>(Comparator.comparingInt(group -> group.listIndex));
    /** Groups of which something has changed since the last look. */
    private final List<Group> pendingChanges = new ArrayList<>();

    private int listedGroups;
    public long nextProbeNanos = Long.MAX_VALUE;

    /** A member of this group has been listed; the first time gives the group its place. */
    public void registerGroup(Group group) {
        if (group.listIndex < 0) {
            group.listIndex = listedGroups++;
            if (!group.queued.isEmpty()) {
                groupsWithQueued.add(group);
            }
        }
    }

    /** Something has changed that may let the group's requests go. */
    public void markChanged(Group group) {
        group.changed = true;
        if (!group.changePending) {
            group.changePending = true;
            pendingChanges.add(group);
        }
    }

    /** This request waits. */
    public void enqueue(Request request) {
        Group group = request.group;
        if (group.queued.isEmpty()) {
            // No look clears the mark of a group without requests on hold, but for those touched since.
            group.changed = group.changePending;
            if (group.listIndex >= 0) {
                groupsWithQueued.add(group);
            }
        }
        group.queued.add(request);
    }

    /** The groups with requests on hold, in their order; not a copy. */
    public Collection<Group> groupsWithQueued() {
        return groupsWithQueued;
    }

    /** Those of them that have changed since this was last asked. */
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

    public void schedule(Request request, long atNanos) {
        wakeups.remove(request);
        request.wakeupNanos = atNanos;
        wakeups.add(request);
    }

    /** It is held no longer and looked at no more. */
    public void remove(Request request) {
        wakeups.remove(request);
        request.wakeupNanos = Long.MAX_VALUE;
        if (request.group.queued.remove(request) && request.group.queued.isEmpty()) {
            groupsWithQueued.remove(request.group);
        }
    }

    /** Takes out those that are due by now, in their order. */
    public Set<Request> takeDue(long now) {
        Set<Request> due = new LinkedHashSet<>();
        while (!wakeups.isEmpty() && wakeups.first().wakeupNanos <= now) {
            Request request = wakeups.pollFirst();
            request.wakeupNanos = Long.MAX_VALUE;
            due.add(request);
        }
        return due;
    }

    /** When the next one is due, a request or a question. */
    public long nextWakeupNanos() {
        return Math.min(wakeups.isEmpty() ? Long.MAX_VALUE : wakeups.first().wakeupNanos, nextProbeNanos);
    }
}
