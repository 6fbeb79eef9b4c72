package beaconladder.cells;

import java.util.HashMap;
import java.util.Map;

/**
 * A bulkhead: divides one resource of a router among cells and the tenants in them. Each cell has a quota of its own.
 * Capacity that a cell has not used recently is lent to other cells. When the cell needs it again, its first requests
 * are served from a reserve that is never lent, until the loans end with the requests that hold them. The same scheme
 * applies to the tenants within a cell. Not thread-safe; times are in nanoseconds and never run backwards.
 */
public final class CellQuotas {
    /** The fraction of a quota that is never lent, so that the first demand of its owner is always met. */
    private static final double RESERVED_FRACTION = 0.25;
    /** The factor by which a cell's use may exceed its recent peak within one window. */
    private static final int EXPECTED_GROWTH = 2;
    /** The length of the window of a peak. A burst is visible within a second; loans depend on the last two windows. */
    private static final long WINDOW_NANOS = 1_000_000_000L;
    /** The fraction of a limit for requests below the cell's average weight; the rest is for those at or above it. */
    private static final double LOW_WEIGHT_FRACTION = 0.9;
    /** The average weight is an exponential moving average over the last few dozen requests. */
    private static final double WEIGHT_SMOOTHING = 1.0 / 32;

    /** The result of an acquisition: whether it succeeded, or which limit it would have exceeded. */
    public enum Result {
        ACQUIRED,
        TENANT_LIMIT,
        CELL_LIMIT,
        ROUTER_LIMIT
    }

    /** The current use of a cell or a tenant, and its peaks in the current window and the previous one. */
    private static final class Usage {
        private long used;
        private long peak;
        private long previousPeak;
        private long windowIndex;

        /** Returns the peak use in the current window and the previous one. */
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
     * Creates a bulkhead of which nothing is used yet.
     *
     * @param capacity the capacity of the router, in units of the resource
     * @param cellQuotas the quota of each cell as a fraction of the capacity; the sum is at most 1
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

    /** Replaces the quotas of the cells; amounts already acquired are kept. */
    void updateQuotas(double... newQuotas) {
        System.arraycopy(newQuotas, 0, cellQuotas, 0, cellQuotas.length);
    }

    /** Returns the amount that a cell may always hold: at least 1. */
    private long guaranteedAmount(int cell) {
        return Math.max(1, (long) (cellQuotas[cell] * capacity));
    }

    /**
     * Acquires the whole amount for a tenant in a cell, or nothing.
     *
     * @param tenantQuota the tenant's fraction of its cell's quota, from 0 to 1
     * @param priorityWeight of the request; one below the cell's average may not use the last tenth of a limit
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
        // A tenant always gets its quota. Beyond that it may use what the other tenants of its cell leave, except the
        // reserve; a tenant with a quota below 1 never gets more than half of its cell's amount that way.
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

    /** Returns what a cell may hold now: its own amount, and what the others neither use nor are expected to need. */
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

    /** Returns the amount that a cell holds. */
    public long used(int cell) {
        return cells[cell].used;
    }

    /** Returns the amount that a tenant holds, over all cells. */
    public long used(String tenant) {
        Usage usage = tenants.get(tenant);
        return usage == null ? 0 : usage.used;
    }

    /** Returns whether a cell holds more than its own amount, so that it should release first. */
    public boolean isBorrowing(int cell) {
        return cells[cell].used > guaranteedAmount(cell);
    }
}
