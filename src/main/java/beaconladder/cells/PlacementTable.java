package beaconladder.cells;

import java.util.Map;

/**
 * The placement of all tenants that the plan states and that may be migrated, as the coordinator granted it to a
 * router.
 *
 * @param version grows with each change
 * @param validUntilNanos the end of the lease: a router may act on it until then, in nanoseconds on the clock that all
 *     machines read
 * @param planFingerprint of the coordinator's plan, see {@link StaticPlacement#fingerprint}
 * @param placements by tenant
 */
public record PlacementTable(
        long version, long validUntilNanos, String planFingerprint, Map<String, TenantPlacement> placements) {
    /** Before the first lease: only tenants that are never migrated may be served. */
    public static final PlacementTable NONE = new PlacementTable(0, 0, "", Map.of());
}
