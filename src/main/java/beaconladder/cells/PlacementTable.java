package beaconladder.cells;

import java.util.Map;

/**
 * The placement of all tenants that the plan declares and that may be migrated, as the coordinator granted it to a
 * router.
 *
 * @param version the version of the placement; it grows with each change
 * @param validUntilNanos the end of the lease, until which the router may act on the table, in nanoseconds of Unix time
 * @param planFingerprint the fingerprint of the coordinator's plan, see {@link StaticPlacement#fingerprint}
 * @param placements the placements by tenant
 */
public record PlacementTable(
        long version, long validUntilNanos, String planFingerprint, Map<String, TenantPlacement> placements) {
    /** The table before the first lease: only tenants that are never migrated may be served. */
    public static final PlacementTable NONE = new PlacementTable(0, 0, "", Map.of());
}
