package beaconladder.testbed.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;

/** Measures one part of a fleet at several sizes. */
interface Part {
    /** Returns the unit that the sizes count. */
    String sizeUnit();

    /** Returns the default sizes, at least {@link Slope#MIN_SIZES} of them. */
    List<Integer> sizes(boolean small);

    /** Returns roughly how much memory the largest of these sizes needs, in bytes, over all processes. */
    long estimatedMemoryBytes(List<Integer> sizes);

    /** Measures at these sizes and reports the results. */
    void measure(List<Integer> sizes, boolean small, SplittableRandom random, Path folder, Report report)
            throws IOException, InterruptedException;
}
