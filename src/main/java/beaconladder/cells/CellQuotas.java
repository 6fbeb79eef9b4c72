package beaconladder.cells;

import java.util.HashMap;
import java.util.Map;

/**
 * How much cells, and the tenants in them, hold of one resource of a router: a bulkhead. Each cell has a quota of its
 * own. What cells have not used lately is lent to others; a cell gets it back on demand, at first from a reserve that
 * is never lent, while the loans end with the requests that hold them. Inside a cell the same holds for its tenants.
 * Not thread-safe; times are in nanoseconds and never run backwards.
 */
public final class CellQuotas {
    /** A quarter of what a cell or a tenant does not use is never lent, so that its first demand is always met. */
    private static final double RESERVED_FRACTION = 0.25;
    /** A cell that used some amount lately may need twice that within one window. */
    private static final int EXPECTED_GROWTH = 2;
    /** A burst shows within a second; loans are bounded by the use of the last one or two. */
    private static final long WINDOW_NANOS = 1_000_000_000L;
    /** The last tenth of what a cell or a tenant may hold is for requests of at least the cell's usual value. */
    private static final double LOW_WEIGHT_FRACTION = 0.9;
    /** The usual value is an exponential average over the last few dozen requests. */
    private static final double WEIGHT_SMOOTHING = 1.0 / 32;

    /** Whether an amount was acquired, or which limit it would have exceeded. */
    public enum Result {
        ACQUIRED,
        TENANT_LIMIT,
        CELL_LIMIT,
        ROUTER_LIMIT
    }

    /** The use of a cell or a tenant: now, and its peaks in this window and the one before. */
    private static final class Usage {
        private long used;
        private long peak;
        private long previousPeak;
        private long windowIndex;

        /** The most that was used at once in this window and the one before. */
        long recentPeak(long nowNanos) {
            roll(nowNanos);
            return Math.max(peak, previousPeak);
        }

        private void roll(long nowNanos) {
            long currentWindow = Math.floorDiv(nowNanos, WINDOW_NANOS);
            if (currentWindow != windowIndex) {
                previousPeak = currentWindow == windowIndex + 1 ? peak : used;
                peak = used;
                windowIndex = currentWindow;
            }
        }

        void add(long amount, long nowNanos) {
            roll(nowNanos);
            used += amount;
            peak = Math.max(peak, used);
        }
    }

    private final long capacity;
    private final double[] cellQuotas;
    private final Usage[] cells;
    private final double[] averageWeight;
    private final Map<String, Usage> tenants = new HashMap<>();
    private long used;

    /**
     * One bulkhead.
     *
     * @param capacity of the router, in units of the resource
     * @param cellQuotas of each cell, from 0 to 1, at most 1 together
     */
    public CellQuotas(long capacity, double... cellQuotas) {
        this.capacity = capacity;
        this.cellQuotas = cellQuotas.clone();
        this.cells = new Usage[cellQuotas.length];
        this.averageWeight = new double[cellQuotas.length];
        for (int i = 0; i < cells.length; i++) {
            cells[i] = new Usage();
        }
    }

    /** Replaces the quotas of the cells; what is held stays held. */
    void updateQuotas(double... newQuotas) {
        System.arraycopy(newQuotas, 0, cellQuotas, 0, cellQuotas.length);
    }

    /** The amount that a cell may always hold. */
    private long guaranteedAmount(int cell) {
        return Math.max(1, (long) (cellQuotas[cell] * capacity));
    }

    /**
     * Acquires an amount for a tenant in a cell; all or nothing.
     *
     * @param tenantQuota the tenant's part of its cell's quota, from 0 to 1
     * @param priorityWeight the priority weight of the request: low values may not use the last tenth
     */
    public Result tryAcquire(
            int cell, String tenant, double tenantQuota, long amount, double priorityWeight, long nowNanos) {
        averageWeight[cell] += WEIGHT_SMOOTHING * (priorityWeight - averageWeight[cell]);
        double usableFraction = priorityWeight < averageWeight[cell] ? LOW_WEIGHT_FRACTION : 1;
        Usage usage = tenants.get(tenant);
        long heldByTenant = usage == null ? 0 : usage.used;
        long guaranteedAmount = guaranteedAmount(cell);
        long cellLimit = cellLimit(cell, guaranteedAmount, nowNanos);
        if (used + amount > capacity) {
            return Result.ROUTER_LIMIT;
        }
        if (cells[cell].used + amount > (long) (usableFraction * cellLimit) && cells[cell].used > 0) {
            return Result.CELL_LIMIT;
        }
        // A tenant always gets its quota. Beyond it, it gets what others of its cell leave, without the reserve;
        // a tenant with a stated quota never gets most of its cell.
        long guaranteedToTenant = Math.max(1, (long) (tenantQuota * guaranteedAmount));
        if (heldByTenant + amount > guaranteedToTenant
                && (cells[cell].used + amount > (long) ((1 - RESERVED_FRACTION) * usableFraction * cellLimit)
                        || tenantQuota < 1
                                && heldByTenant + amount > Math.max(guaranteedToTenant, guaranteedAmount / 2))) {
            return Result.TENANT_LIMIT;
        }
        if (usage == null) {
            usage = new Usage();
            tenants.put(tenant, usage);
        }
        usage.used += amount;
        cells[cell].add(amount, nowNanos);
        used += amount;
        return Result.ACQUIRED;
    }

    /** What a cell may hold now: its own amount and what the others have not used lately, without their reserves. */
    private long cellLimit(int cell, long guaranteedAmount, long nowNanos) {
        long keptForOthers = 0;
        for (int i = 0; i < cells.length; i++) {
            if (i != cell) {
                long guaranteedToOther = guaranteedAmount(i);
                long expectedDemand = EXPECTED_GROWTH * cells[i].recentPeak(nowNanos)
                        + (long) Math.ceil(RESERVED_FRACTION * guaranteedToOther);
                keptForOthers += Math.max(cells[i].used, Math.min(guaranteedToOther, expectedDemand));
            }
        }
        return Math.max(guaranteedAmount, capacity - keptForOthers);
    }

    /** Releases an amount that was acquired for this tenant in this cell. */
    public void release(int cell, String tenant, long amount) {
        Usage usage = tenants.get(tenant);
        usage.used -= amount;
        if (usage.used <= 0) {
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
        Usage usage = tenants.get(tenant);
        return usage == null ? 0 : usage.used;
    }

    /** Whether a cell holds more than its own amount, so that it should give back first. */
    public boolean isBorrowing(int cell) {
        return cells[cell].used > guaranteedAmount(cell);
    }
}
