/**
 * Cells: sets of database groups among which tenants are placed, so that a fault or an overload in one cell does not
 * reach the tenants of another.
 *
 * <p>A router uses three parts. {@link beaconladder.cells.StaticPlacement} gives the placement by the plan alone;
 * {@link beaconladder.cells.CellAdmission} decides whether a request is admitted, queued or rejected, by the placement
 * that the coordinator granted and by the quotas of cells and tenants; {@link beaconladder.cells.CellRouter} stops a
 * request whose tenant is migrated away. The coordinator uses {@link beaconladder.cells.TenantMigrations}, the state
 * machine that places tenants and migrates them. {@link beaconladder.cells.PlacementPlanner} proposes placements to an
 * operator.
 *
 * <p>Terms: the groups of a cell are its <i>slots</i>; a tenant's data in slot i of one cell migrates to slot i of
 * another. The <i>floor</i> of a slot is the minimum log position that a member must have applied to have everything
 * that a migration copied into its cell. The <i>write fence</i> of a migration is the time in which the tenant's writes
 * are queued; <i>fences</i> are the log positions of the last writes before it. The operators' plan, the records and
 * the HTTP interface say <i>keeper</i> for the coordinator, <i>seat</i> for a placement, <i>move</i> for a migration
 * and <i>share</i> for a quota. Positions and times are in nanoseconds.
 */
package beaconladder.cells;
