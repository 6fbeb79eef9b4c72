package beaconladder.cells;

import java.util.HashMap;
import java.util.Map;

/**
 * What cells, and tenants in them, hold of one thing that a router has so much of: a bulkhead. A cell's share is its
 * own; what cells have not used lately is lent to others, and is theirs again as soon as they ask, from a part that is
 * never lent, while the loans end with the txns that hold them. Inside a cell the same goes for its tenants.
 */
public final class CellQuotas {
    /**
     * A quarter of what a cell or a tenant does not use is kept back from loans, so that it is never refused its first.
     */
    private static final double KEPT = 0.25;
    /** Who has used so much lately may be back for twice that within one window. */
    private static final int GROWTH = 2;
    /** A burst shows itself within a second; loans are reckoned by the last one or two. */
    private static final long WINDOW = 1_000_000_000L;
    /** The last tenth of what a cell or a tenant may take is for txns of at least its usual value. */
    private static final double FOR_VALUE = 0.9;
    /** The usual value follows the last few dozen. */
    private static final double FOLLOW = 1.0 / 32;

    /** Why something is not to be had. */
    public enum Answer {
        TAKEN,
        TENANT_FULL,
        CELL_FULL,
        ROUTER_FULL
    }

    private static final class Holder {
        private long used;
        private long peak;
        private long before;
        private long window;

        /** The most that was used at once in this window and the one before. */
        long lately(long now) {
            roll(now);
            return Math.max(peak, before);
        }

        private void roll(long now) {
            long number = Math.floorDiv(now, WINDOW);
            if (number != window) {
                before = number == window + 1 ? peak : used;
                peak = used;
                window = number;
            }
        }

        void add(long amount, long now) {
            roll(now);
            used += amount;
            peak = Math.max(peak, used);
        }
    }

    private final long capacity;
    private final double[] shares;
    private final Holder[] cells;
    private final double[] usualValue;
    private final Map<String, Holder> tenants = new HashMap<>();
    private long used;

    /**
     * One bulkhead.
     *
     * @param capacity how much there is
     * @param shares of each cell, from 0 to 1, together not over 1
     */
    public CellQuotas(long capacity, double... shares) {
        this.capacity = capacity;
        this.shares = shares.clone();
        this.cells = new Holder[shares.length];
        this.usualValue = new double[shares.length];
        for (int i = 0; i < cells.length; i++) {
            cells[i] = new Holder();
        }
    }

    /** Other shares count from now on; what is held stays held. */
    void reshare(double... next) {
        System.arraycopy(next, 0, shares, 0, shares.length);
    }

    /** What is a cell's own. */
    long own(int cell) {
        return Math.max(1, (long) (shares[cell] * capacity));
    }

    /**
     * Takes an amount for a tenant in a cell; all or nothing.
     *
     * @param share of the tenant, of its cell
     * @param value of what it is for: the last part is for what is worth more
     */
    public Answer take(int cell, String tenant, double share, long amount, double value, long now) {
        usualValue[cell] += FOLLOW * (value - usualValue[cell]);
        double part = value < usualValue[cell] ? FOR_VALUE : 1;
        Holder holder = tenants.get(tenant);
        long held = holder == null ? 0 : holder.used;
        long own = own(cell);
        long most = most(cell, own, now);
        if (used + amount > capacity) {
            return Answer.ROUTER_FULL;
        }
        if (cells[cell].used + amount > (long) (part * most) && cells[cell].used > 0) {
            return Answer.CELL_FULL;
        }
        // A tenant within its share has it; beyond it takes what others of its cell leave, but for what is
        // kept,
        // and if its share is stated never most of a cell.
        long tenantOwn = Math.max(1, (long) (share * own));
        if (held + amount > tenantOwn
                && (cells[cell].used + amount > (long) ((1 - KEPT) * part * most)
                        || share < 1 && held + amount > Math.max(tenantOwn, own / 2))) {
            return Answer.TENANT_FULL;
        }
        if (holder == null) {
            holder = new Holder();
            tenants.put(tenant, holder);
        }
        holder.used += amount;
        cells[cell].add(amount, now);
        used += amount;
        return Answer.TAKEN;
    }

    /** What a cell may hold now: its own and what the others have not used lately, but for what is kept. */
    private long most(int cell, long own, long now) {
        long others = 0;
        for (int i = 0; i < cells.length; i++) {
            if (i != cell) {
                long theirs = own(i);
                long lately = GROWTH * cells[i].lately(now) + (long) Math.ceil(KEPT * theirs);
                others += Math.max(cells[i].used, Math.min(theirs, lately));
            }
        }
        return Math.max(own, capacity - others);
    }

    public void give(int cell, String tenant, long amount) {
        Holder holder = tenants.get(tenant);
        holder.used -= amount;
        if (holder.used <= 0) {
            tenants.remove(tenant);
        }
        cells[cell].used -= amount;
        used -= amount;
    }

    /** What a cell holds. */
    public long used(int cell) {
        return cells[cell].used;
    }

    /** What a tenant holds, in all cells. */
    public long used(String tenant) {
        Holder holder = tenants.get(tenant);
        return holder == null ? 0 : holder.used;
    }

    /** Whether a cell holds more than its own: who does is to give back first. */
    public boolean borrows(int cell) {
        return cells[cell].used > own(cell);
    }
}
