package beaconladder.invariants;

import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts violations by rule, and logs each as it comes; for several threads. */
public final class Violations {
    private static final Logger LOG = LoggerFactory.getLogger(Violations.class);

    private final boolean logged;
    private final AtomicLongArray counts = new AtomicLongArray(Rule.values().length);

    public Violations() {
        this(true);
    }

    private Violations(boolean logged) {
        this.logged = logged;
    }

    /** One that counts alone, for what is played before any client is there. */
    public static Violations unlogged() {
        return new Violations(false);
    }

    /** A rule has been broken, as these words tell. */
    public void add(Rule rule, String what) {
        long count = counts.incrementAndGet(rule.ordinal());
        if (logged) {
            LOG.error("invariant violated: rule={} count={} {}", name(rule), count, what);
        }
    }

    /** How often this rule was broken. */
    public long count(Rule rule) {
        return counts.get(rule.ordinal());
    }

    /** How often any of them was. */
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
