package beaconladder.serve;

import beaconladder.invariants.Invariants;
import beaconladder.invariants.Violations;
import beaconladder.metrics.Counters;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a router counts of itself, and the checks of its rules; told in the log each minute and at its end. */
final class Monitor {
    private static final Logger LOG = LoggerFactory.getLogger(Monitor.class);
    private static final long EVERY = 60_000_000_000L;

    private final Counters counters = new Counters();
    private final Violations violations = new Violations();
    private final Invariants invariants;
    private long toldAt = System.nanoTime();
    private String told = "";

    /**
     * One that has counted nothing.
     *
     * @param drainGrace how long after its listing a draining host may still be sent to, in nanoseconds
     */
    Monitor(long drainGrace) {
        invariants = new Invariants(violations, drainGrace);
    }

    Counters counters() {
        return counters;
    }

    Invariants invariants() {
        return invariants;
    }

    /** To be called now and then: tells what has changed within the last minute. */
    void sweep() {
        long now = System.nanoTime();
        if (now - toldAt >= EVERY) {
            toldAt = now;
            tell();
        }
    }

    /** Tells all counts, unless they stand as they were told last. */
    void tell() {
        String all = counters.toString();
        if (!all.equals(told)) {
            told = all;
            LOG.info("counters: {}", all);
            LOG.info("invariants violated: {}", violations);
        }
    }
}
