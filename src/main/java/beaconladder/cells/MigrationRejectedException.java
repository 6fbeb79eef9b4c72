package beaconladder.cells;

/** Thrown if a migration or its undo is not possible; the message states the reason for an operator. */
public final class MigrationRejectedException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MigrationRejectedException(String reason) {
        super(reason);
    }
}
