/**
 * Cell-based isolation of tenants. A cell is a set of database groups; each tenant is placed in one cell, so that a
 * fault or an overload in one cell does not affect the tenants of another.
 *
 * <p>A router uses three parts. {@link beaconladder.cells.StaticPlacement} computes the placement from the plan alone.
 * {@link beaconladder.cells.CellAdmission} admits, queues or rejects a request according to the placement that the
 * coordinator granted and the quotas of cells and tenants. {@link beaconladder.cells.CellRouter} ends a request whose
 * tenant has migrated to another cell. The coordinator uses {@link beaconladder.cells.TenantMigrations}, the state
 * machine that places and migrates tenants. {@link beaconladder.cells.PlacementPlanner} proposes placements to an
 * operator.
 *
 * <p>Terms: the groups of a cell are its <i>slots</i>; a tenant's data in slot i of one cell migrates to slot i of
 * another. The <i>floor</i> of a slot is the minimum log position that a member must have applied to have everything
 * that a migration copied into its cell. The <i>write fence</i> of a migration is the period in which the tenant's
 * writes are queued; <i>fences</i> are the log positions of the last writes before it. The operators' plan, the stored
 * records and the HTTP API use older terms: <i>keeper</i> for the coordinator, <i>seat</i> for a placement, <i>move</i>
 * for a migration and <i>share</i> for a quota. Positions and times are in nanoseconds.
 */
package beaconladder.cells;
