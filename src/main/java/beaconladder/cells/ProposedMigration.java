package beaconladder.cells;

/** A migration of one tenant to another cell, as {@link PlacementPlanner} proposes it. */
public record ProposedMigration(String tenant, String fromCell, String toCell) {}
