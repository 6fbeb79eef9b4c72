package beaconladder.server;

import beaconladder.invariants.Invariants;
import beaconladder.invariants.Violations;
import beaconladder.metrics.Counters;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a router counts of itself, and the checks of its rules; told in the log each minute and at its end. */
final class Monitor {
    private static final Logger LOG = LoggerFactory.getLogger(Monitor.class);
    private static final long EVERY = 60_000_000_000L;

    private final Counters counters = new Counters();
    private final Violations violations;
    private final Invariants invariants;
    private long toldAt = System.nanoTime();
    private String told = "";

    /** One that has counted nothing, for a router with these settings. */
    Monitor(Map<String, String> settings) {
        this(settings, new Violations());
    }

    Monitor(Map<String, String> settings, Violations violations) {
        this.violations = violations;
        long graceMicros = Long.parseLong(settings.getOrDefault("rules.drain_grace_us", "2000000"));
        invariants = new Invariants(violations, graceMicros * 1_000);
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
