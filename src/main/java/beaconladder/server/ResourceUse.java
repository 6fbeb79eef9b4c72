package beaconladder.server;

import java.util.EnumSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts and logs each time that a resource which clients share runs short. Used by the reader's thread only. */
final class ResourceUse {
    private static final Logger LOG = LoggerFactory.getLogger(ResourceUse.class);
    /** A resource is short while less than this part of it is free, as a divisor. */
    private static final int SHORT_DIVISOR = 4;

    private final Monitor monitor;
    private final Set<SharedResource> shortResources = EnumSet.noneOf(SharedResource.class);

    ResourceUse(Monitor monitor) {
        this.monitor = monitor;
    }

    /** Records how much of a resource is free, in bytes or threads. */
    void record(SharedResource resource, long free, long total) {
        if (free >= total / SHORT_DIVISOR) {
            shortResources.remove(resource);
        } else if (shortResources.add(resource)) {
            monitor.counters().add("short", resource);
            LOG.warn("clients use most of what they share: {}, free {} of {}", resource, free, total);
        }
    }
}
