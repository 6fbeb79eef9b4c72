package beaconladder.cells;

/**
 * A permit for one request to be in flight; it holds a part of the quota of its cell until it is released. The receiver
 * must release it exactly once, by {@link CellAdmission#requestEnded} or {@link CellAdmission#release}.
 */
public final class AdmissionPermit {
    final String tenant;
    final int cellIndex;
    final int group;
    /** The index of the group in its cell. */
    final int slot;

    final boolean write;
    final long bytes;
    final long arrivedNanos;
    final long expiryNanos;
    /** Set when the request is admitted; see {@link #floor()}. */
    long floor = Long.MIN_VALUE;

    AdmissionPermit(AdmissionRequest request, int cellIndex, int group, int slot) {
        this.tenant = request.tenant();
        this.cellIndex = cellIndex;
        this.group = group;
        this.slot = slot;
        this.write = request.write();
        this.bytes = request.bytes();
        this.arrivedNanos = request.arrivedNanos();
        this.expiryNanos = request.expiryNanos();
    }

    /** Returns the index of the cell in the plan. */
    public int cellIndex() {
        return cellIndex;
    }

    /** Returns the number of the group that serves the request. */
    public int group() {
        return group;
    }

    /**
     * Returns the floor of the slot in nanoseconds, or Long.MIN_VALUE for none; see {@link TenantPlacement#floors}. No
     * member with a lower position may serve the request.
     */
    public long floor() {
        return floor;
    }
}
