package beaconladder.metrics;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/**
 * Thread-safe counters of events by subject and kind. {@link #toString} returns all counts in one line, such as
 * {@code closed.idle=3 refused.no_time=1}; a kind that never occurred is absent.
 */
public final class Counters {
    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

    /** Counts one event. */
    public void add(String subject, Enum<?> kind) {
        counts.computeIfAbsent(key(subject, kind), name -> new LongAdder()).increment();
    }

    /** Returns the number of events of this subject and kind. */
    public long count(String subject, Enum<?> kind) {
        LongAdder count = counts.get(key(subject, kind));
        return count == null ? 0 : count.sum();
    }

    private static String key(String subject, Enum<?> kind) {
        return subject + "." + kind.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public String toString() {
        return new TreeMap<>(counts)
                .entrySet().stream()
                        .map(e -> e.getKey() + "=" + e.getValue().sum())
                        .collect(Collectors.joining(" "));
    }
}
