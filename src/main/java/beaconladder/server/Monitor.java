package beaconladder.server;

import beaconladder.invariants.Invariants;
import beaconladder.invariants.Violations;
import beaconladder.metrics.Counters;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A router's own counters and the checks of its invariants; logged once a minute when changed, and at the end. */
final class Monitor {
    private static final Logger LOG = LoggerFactory.getLogger(Monitor.class);
    private static final long LOG_INTERVAL_NANOS = 60_000_000_000L;

    private final Counters counters = new Counters();
    private final Violations violations;
    private final Invariants invariants;
    /** When the counters were last due for the log, on System.nanoTime's clock. */
    private long loggedAtNanos = System.nanoTime();

    private String lastLogged = "";

    /** A monitor with zero counts, for a router with these settings. */
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

    /** Called periodically: logs what has changed, at most once a minute. */
    void sweep() {
        long now = System.nanoTime();
        if (now - loggedAtNanos >= LOG_INTERVAL_NANOS) {
            loggedAtNanos = now;
            logChanges();
        }
    }

    /** Logs all counters unless none has changed since they were last logged. */
    void logChanges() {
        String current = counters.toString();
        if (!current.equals(lastLogged)) {
            lastLogged = current;
            LOG.info("counters: {}", current);
            LOG.info("invariants violated: {}", violations);
        }
    }
}
