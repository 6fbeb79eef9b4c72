package beaconladder.cells;

import java.util.Map;

/**
 * Who lives where, as a router was told.
 *
 * @param version grows with each change
 * @param until a router may act on it until then, in nanoseconds on the clock that all machines read
 * @param basis of the keeper's plan, see {@link StaticPlacement#basis}
 * @param seats by tenant
 */
public record PlacementTable(long version, long until, String basis, Map<String, TenantPlacement> seats) {
    /** Before a keeper has spoken: nothing may be acted on but what never moves. */
    public static final PlacementTable NONE = new PlacementTable(0, 0, "", Map.of());

    /** The same for longer. */
    public PlacementTable extended(long to) {
        return new PlacementTable(version, Math.max(until, to), basis, seats);
    }
}
