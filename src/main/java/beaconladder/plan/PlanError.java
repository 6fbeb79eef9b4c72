package beaconladder.plan;

/**
 * A message in the operators' file.
 *
 * @param line from 1
 * @param column from 1
 */
public record PlanError(String file, int line, int column, String message) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column + ": " + message;
    }
}
