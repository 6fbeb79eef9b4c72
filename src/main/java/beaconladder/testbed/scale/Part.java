package beaconladder.testbed.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;

/** One part of the scale tests: some quantity of the fleet, and what grows with it. */
interface Part {
    /** What is counted by its sizes. */
    String of();

    /** Its sizes, at least {@link Slope#FEWEST} of them. */
    List<Integer> sizes(boolean small);

    /** What the largest of these sizes needs of memory, in bytes, all processes together; about. */
    long bytes(List<Integer> sizes);

    /** Measures at these sizes. */
    void measure(List<Integer> sizes, boolean small, SplittableRandom chance, Path folder, Report report)
            throws IOException, InterruptedException;
}
