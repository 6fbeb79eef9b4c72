package beaconladder.invariants;

import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts violations by rule, and logs each of them; for several threads. */
public final class Violations {
    private static final Logger LOG = LoggerFactory.getLogger(Violations.class);

    private final boolean logged;
    private final AtomicLongArray counts = new AtomicLongArray(Rule.values().length);

    /** Counts and logs. */
    public Violations() {
        this(true);
    }

    private Violations(boolean logged) {
        this.logged = logged;
    }

    /** Counts without a log line, for the warm-up before any client is connected. */
    public static Violations unlogged() {
        return new Violations(false);
    }

    /** Counts a violation and logs its description. */
    public void add(Rule rule, String description) {
        long count = counts.incrementAndGet(rule.ordinal());
        if (logged) {
            LOG.error("invariant violated: rule={} count={} {}", name(rule), count, description);
        }
    }

    /** How many violations of this rule were counted. */
    public long count(Rule rule) {
        return counts.get(rule.ordinal());
    }

    /** How many violations were counted in all. */
    public long total() {
        return Arrays.stream(Rule.values()).mapToLong(this::count).sum();
    }

    @Override
    public String toString() {
        return Arrays.stream(Rule.values())
                .map(rule -> name(rule) + "=" + count(rule))
                .collect(Collectors.joining(" "));
    }

    private static String name(Rule rule) {
        return rule.name().toLowerCase(Locale.ROOT);
    }
}
