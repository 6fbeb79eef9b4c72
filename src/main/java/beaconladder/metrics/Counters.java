package beaconladder.metrics;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/**
 * Counts events by what they are about and by their kind, for several threads. One line holds all of them, as
 * {@code closed.idle=3 refused.no_time=1}; what never happened is not in it.
 */
public final class Counters {
    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

    /** One more event of this kind. */
    public void add(String about, Enum<?> kind) {
        counts.computeIfAbsent(about + "." + kind.name().toLowerCase(Locale.ROOT), name -> new LongAdder())
                .increment();
    }

    /** How often this kind came. */
    public long count(String about, Enum<?> kind) {
        LongAdder count = counts.get(about + "." + kind.name().toLowerCase(Locale.ROOT));
        return count == null ? 0 : count.sum();
    }

    @Override
    public String toString() {
        return new TreeMap<>(counts)
                .entrySet().stream()
                        .map(e -> e.getKey() + "=" + e.getValue().sum())
                        .collect(Collectors.joining(" "));
    }
}
