package beaconladder.feed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;

/** Subscribers with one fault each, which the checker of the feed's scenario has to detect. */
public final class FaultySubscribers {
    private FaultySubscribers() {}

    /** Creates a subscriber without a fault. */
    public static Subscriber correct(String name, Map<String, InetSocketAddress> relays, Applier applier)
            throws IOException {
        return new Subscriber(name, 1, relays, null, applier);
    }

    /** Creates a subscriber that applies only the last of several changes. */
    public static Subscriber skipsChanges(String name, Map<String, InetSocketAddress> relays, Applier applier)
            throws IOException {
        return new Subscriber(name, 1, relays, null, applier, new UpdateStrategy() {
            @Override
            public long requestedVersion(VersionedState held) {
                return held.version();
            }

            @Override
            public VersionedState merge(VersionedState held, Update update) {
                if (update.base() != null || update.changes().isEmpty()) {
                    return update.base() == null ? held : update.base();
                }
                Change last = update.changes().get(update.changes().size() - 1);
                TreeMap<String, String> entries = new TreeMap<>(held.entries());
                entries.putAll(last.set());
                entries.keySet().removeAll(last.remove());
                return VersionedState.of(last.version(), entries);
            }
        });
    }

    /** Creates a subscriber that applies every full state, even one that is older than its own. */
    public static Subscriber revertsToOlderVersions(String name, Map<String, InetSocketAddress> relays, Applier applier)
            throws IOException {
        return new Subscriber(name, 1, relays, null, applier, new UpdateStrategy() {
            @Override
            public long requestedVersion(VersionedState held) {
                return 0;
            }

            @Override
            public VersionedState merge(VersionedState held, Update update) {
                if (update.base() != null) {
                    return update.base();
                }
                VersionedState next = update.changes().isEmpty() ? held : VersionedState.empty();
                for (Change change : update.changes()) {
                    next = next.apply(new Proposal(next.version(), change.set(), change.remove()));
                }
                return next;
            }
        });
    }
}
