package beaconladder.lease.server;

import beaconladder.feed.FeedJson;
import beaconladder.feed.VersionHistory;
import beaconladder.lease.LeaseTable;
import java.io.IOException;
import java.util.List;

/**
 * A snapshot of the lease servers' state as text. The first line holds the leases, without a prefix, as in the earliest
 * builds; each further part has its own line and prefix.
 */
record LeaseSnapshot(LeaseTable leases, VersionHistory feed) {
    String toText() {
        return LeaseJson.toJson(leases) + '\n' + LeaseStateMachine.FEED_PREFIX + FeedJson.text(feed) + '\n';
    }

    /**
     * Parses a snapshot, including one of an earlier build without the feed.
     *
     * @throws IOException if a part is invalid or unknown
     */
    static LeaseSnapshot parse(String text) throws IOException {
        List<String> parts = text.lines().toList();
        LeaseTable leases = LeaseJson.readTable(parts.isEmpty() ? "" : parts.get(0));
        VersionHistory feed = VersionHistory.empty();
        for (String part : parts.subList(1, parts.size())) {
            if (!part.startsWith(LeaseStateMachine.FEED_PREFIX)) {
                throw new InvalidLeaseMessageException("a snapshot with a part that this build does not know");
            }
            feed = FeedJson.read(part.substring(LeaseStateMachine.FEED_PREFIX.length()), VersionHistory.class)
                    .validated();
        }
        return new LeaseSnapshot(leases, feed);
    }
}
