package beaconladder.server;

import beaconladder.invariants.Invariants;
import beaconladder.invariants.Violations;
import beaconladder.metrics.Counters;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds a router's counters and invariant checks, and logs them once a minute if they changed, and at shutdown. */
final class Monitor {
    private static final Logger LOG = LoggerFactory.getLogger(Monitor.class);
    private static final long LOG_INTERVAL_NANOS = 60_000_000_000L;

    private final Counters counters = new Counters();
    private final Violations violations;
    private final Invariants invariants;
    /** The {@code System.nanoTime} at which the sweep last logged the counters or found them unchanged. */
    private long lastLogNanoTime = System.nanoTime();

    private String lastLoggedCounters = "";

    /** Creates a monitor with zero counts for a router with these settings. */
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

    /** Logs changes at most once a minute; called periodically. */
    void sweep() {
        long now = System.nanoTime();
        if (now - lastLogNanoTime >= LOG_INTERVAL_NANOS) {
            lastLogNanoTime = now;
            logChanges();
        }
    }

    /** Logs all counters and violations if a counter has changed since the last time. */
    void logChanges() {
        String current = counters.toString();
        if (!current.equals(lastLoggedCounters)) {
            lastLoggedCounters = current;
            LOG.info("counters: {}", current);
            LOG.info("invariants violated: {}", violations);
        }
    }
}
