package beaconladder.fleet;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;

/** When txns are to be looked at again, and when a member may be asked next for the sake of one. */
public final class Agenda {
    private final TreeSet<Txn> looks =
            new TreeSet<>(Comparator.<Txn>comparingLong(t -> t.look).thenComparingLong(t -> t.number));
    public long probe = Long.MAX_VALUE;

    public void schedule(Txn txn, long look) {
        looks.remove(txn);
        txn.look = look;
        looks.add(txn);
    }

    /** It is held no longer and looked at no more. */
    public void drop(Txn txn) {
        looks.remove(txn);
        txn.look = Long.MAX_VALUE;
        txn.group.held.remove(txn);
    }

    /** Takes out those that are due by now, in their order. */
    public Set<Txn> due(long now) {
        Set<Txn> due = new LinkedHashSet<>();
        while (!looks.isEmpty() && looks.first().look <= now) {
            Txn txn = looks.pollFirst();
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
