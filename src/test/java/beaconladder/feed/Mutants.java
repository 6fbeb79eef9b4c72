package beaconladder.feed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;

/** Subscribers that are wrong in one way each, for the judge to find. */
public final class Mutants {
    private Mutants() {}

    /** As it should be. */
    public static Subscriber right(String name, Map<String, InetSocketAddress> relays, Applier applier)
            throws IOException {
        return new Subscriber(name, 1, relays, null, applier);
    }

    /** Of several changes it takes the last alone. */
    public static Subscriber skips(String name, Map<String, InetSocketAddress> relays, Applier applier)
            throws IOException {
        return new Subscriber(name, 1, relays, null, applier, new ApplyResult() {
            @Override
            public long since(VersionedState held) {
                return held.version();
            }

            @Override
            public VersionedState take(VersionedState held, Update told) {
                if (told.base() != null || told.changes().isEmpty()) {
                    return told.base() == null ? held : told.base();
                }
                Change last = told.changes().get(told.changes().size() - 1);
                TreeMap<String, String> entries = new TreeMap<>(held.entries());
                entries.putAll(last.set());
                entries.keySet().removeAll(last.remove());
                return VersionedState.of(last.version(), entries);
            }
        });
    }

    /** It takes whatever base it is told, also one that is older than what it holds. */
    public static Subscriber goesBack(String name, Map<String, InetSocketAddress> relays, Applier applier)
            throws IOException {
        return new Subscriber(name, 1, relays, null, applier, new ApplyResult() {
            @Override
            public long since(VersionedState held) {
                return 0;
            }

            @Override
            public VersionedState take(VersionedState held, Update told) {
                if (told.base() != null) {
                    return told.base();
                }
                VersionedState next = told.changes().isEmpty() ? held : VersionedState.empty();
                for (Change each : told.changes()) {
                    next = next.after(new Proposal(next.version(), each.set(), each.remove()));
                }
                return next;
            }
        });
    }
}
