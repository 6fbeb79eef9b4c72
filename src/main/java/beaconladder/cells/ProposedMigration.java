package beaconladder.cells;

/** A migration of one tenant to another cell that {@link PlacementPlanner} proposes. */
public record ProposedMigration(String tenant, String fromCell, String toCell) {}
