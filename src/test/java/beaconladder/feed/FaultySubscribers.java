package beaconladder.feed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;

/** Subscribers that are wrong in one way each, for the judge to find. */
public final class FaultySubscribers {
    private FaultySubscribers() {}

    /** As it should be. */
    public static Subscriber right(String name, Map<String, InetSocketAddress> relays, Applier applier)
            throws IOException {
        return new Subscriber(name, 1, relays, null, applier);
    }

    /** Of several changes it takes the last alone. */
    public static Subscriber skips(String name, Map<String, InetSocketAddress> relays, Applier applier)
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

    /** It takes whatever base it is update, also one that is older than what it holds. */
    public static Subscriber goesBack(String name, Map<String, InetSocketAddress> relays, Applier applier)
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
                for (Change each : update.changes()) {
                    next = next.after(new Proposal(next.version(), each.set(), each.remove()));
                }
                return next;
            }
        });
    }
}
