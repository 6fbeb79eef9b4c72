package beaconladder.cells;

/**
 * Permission for one request to be in flight, with the quota that it holds of its cell until it ends. Whoever receives
 * it gives it back once, by {@link CellAdmission#requestEnded} or {@link CellAdmission#release}.
 */
public final class AdmissionPermit {
    final String tenant;
    final int cellIndex;
    final int group;
    final int slot;
    final boolean write;
    final long bytes;
    final long arrivedNanos;
    final long expiryNanos;
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

    /** The index of its cell in the plan. */
    public int cellIndex() {
        return cellIndex;
    }

    /** The number of the group that serves the request. */
    public int group() {
        return group;
    }

    /**
     * The floor of its slot, see {@link TenantPlacement#floors}, in nanoseconds; Long.MIN_VALUE for none. No member
     * below it may answer the request.
     */
    public long floor() {
        return floor;
    }
}
