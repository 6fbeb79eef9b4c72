package beaconladder.invariants;

import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts violations by rule and logs each of them. Thread-safe. */
public final class Violations {
    private static final Logger LOG = LoggerFactory.getLogger(Violations.class);

    private final boolean logged;
    private final AtomicLongArray counts = new AtomicLongArray(Rule.values().length);

    /** Creates counters of violations that are also logged. */
    public Violations() {
        this(true);
    }

    private Violations(boolean logged) {
        this.logged = logged;
    }

    /** Returns counters without log lines, for the warm-up before any client is connected. */
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

    /** Returns the number of violations of this rule. */
    public long count(Rule rule) {
        return counts.get(rule.ordinal());
    }

    /** Returns the number of violations of all rules. */
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
