package beaconladder.routing.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * When txns are to be looked at again, when a member may be asked next for the sake of one, and which groups are to be
 * looked at. That are those with txns on hold: a look at every group at each event would cost the more the larger the
 * fleet is, and find nothing in the others.
 */
public final class WakeupQueue {
    private final TreeSet<Request> looks =
            new TreeSet<>(Comparator.<Request>comparingLong(t -> t.look).thenComparingLong(t -> t.number));
    /** Listed groups with txns on hold, in the order in which groups were first listed. */
    private final TreeSet<Group> holding = new TreeSet<>(Comparator.comparingInt(group -> group.place));
    /** Groups of which something has changed since the last look. */
    private final List<Group> touched = new ArrayList<>();

    private int listed;
    public long probe = Long.MAX_VALUE;

    /** A member of this group has been listed; the first time gives the group its place. */
    public void list(Group group) {
        if (group.place < 0) {
            group.place = listed++;
            if (!group.held.isEmpty()) {
                holding.add(group);
            }
        }
    }

    /** Something has changed that may let the group's txns go. */
    public void change(Group group) {
        group.changed = true;
        if (!group.touched) {
            group.touched = true;
            touched.add(group);
        }
    }

    /** This txn waits. */
    public void hold(Request txn) {
        Group group = txn.group;
        if (group.held.isEmpty()) {
            // No look clears the mark of a group without txns on hold, but for those touched since.
            group.changed = group.touched;
            if (group.place >= 0) {
                holding.add(group);
            }
        }
        group.held.add(txn);
    }

    /** The groups with txns on hold, in their order; not a copy. */
    public Collection<Group> holding() {
        return holding;
    }

    /** Those of them that have changed since this was last asked. */
    public List<Group> changed() {
        for (Group group : touched) {
            group.touched = false;
            group.changed &= !group.held.isEmpty();
        }
        touched.clear();
        List<Group> changed = new ArrayList<>();
        for (Group group : holding) {
            if (group.changed) {
                group.changed = false;
                changed.add(group);
            }
        }
        return changed;
    }

    public void schedule(Request txn, long look) {
        looks.remove(txn);
        txn.look = look;
        looks.add(txn);
    }

    /** It is held no longer and looked at no more. */
    public void drop(Request txn) {
        looks.remove(txn);
        txn.look = Long.MAX_VALUE;
        if (txn.group.held.remove(txn) && txn.group.held.isEmpty()) {
            holding.remove(txn.group);
        }
    }

    /** Takes out those that are due by now, in their order. */
    public Set<Request> due(long now) {
        Set<Request> due = new LinkedHashSet<>();
        while (!looks.isEmpty() && looks.first().look <= now) {
            Request txn = looks.pollFirst();
            txn.look = Long.MAX_VALUE;
            due.add(txn);
        }
        return due;
    }

    /** When the next one is due, a txn or a question. */
    public long next() {
        return Math.min(looks.isEmpty() ? Long.MAX_VALUE : looks.first().look, probe);
    }
}
