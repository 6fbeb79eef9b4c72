package beaconladder.fleet;

/** A session whose writes this router has seen committed. */
public final class Session {
    /** Position of its newest commit. */
    public long commit = Long.MIN_VALUE;
    public Group group;
}
