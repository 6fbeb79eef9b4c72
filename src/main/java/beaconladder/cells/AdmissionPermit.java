package beaconladder.cells;

/** A txn's leave to be in hand, with what it holds of its cell until its end. */
public final class AdmissionPermit {
    final String tenant;
    final int cell;
    final int group;
    final int slot;
    final boolean write;
    final long bytes;
    final long arrived;
    final long expiry;
    long floor = Long.MIN_VALUE;

    AdmissionPermit(
            String tenant, int cell, int group, int slot, boolean write, long bytes, long arrived, long expiry) {
        this.tenant = tenant;
        this.cell = cell;
        this.group = group;
        this.slot = slot;
        this.write = write;
        this.bytes = bytes;
        this.arrived = arrived;
        this.expiry = expiry;
    }

    /** The place of its cell. */
    public int cell() {
        return cell;
    }

    /** The group that takes the txn. */
    public int group() {
        return group;
    }

    /** The position below which no member may answer it, as it lacks what was copied; Long.MIN_VALUE for none. */
    public long floor() {
        return floor;
    }
}
