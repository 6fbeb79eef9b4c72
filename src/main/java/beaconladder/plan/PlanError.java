package beaconladder.plan;

/**
 * A mistake in the operators' file.
 *
 * @param line from 1
 * @param column from 1
 */
public record PlanError(String file, int line, int column, String mistake) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column + ": " + mistake;
    }
}
