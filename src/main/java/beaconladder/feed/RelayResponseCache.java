package beaconladder.feed;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Caches serialized updates to the newest version by the version that they start from: after a change most routers
 * request the same update. Their lag is 0, so they are valid only while the relay's state is fresh. Thread-safe.
 */
final class RelayResponseCache {
    /** The limit of the responses; after a burst of changes routers hold a few different versions. */
    private static final int MAX_RESPONSES = 32;

    private final Map<Long, byte[]> responses = new HashMap<>();
    private long newestVersion = -1;
    private long fullStateResponses;

    /** Returns the response to a router that holds a version; it is serialized on the first request. */
    synchronized byte[] get(VersionHistory history, long sinceVersion) {
        long newest = history.newest().version();
        if (newestVersion != newest || responses.size() >= MAX_RESPONSES) {
            responses.clear();
            newestVersion = newest;
        }
        byte[] response = responses.get(sinceVersion);
        if (response == null) {
            Update update = history.updateSince(sinceVersion, false);
            if (update.base() != null) {
                fullStateResponses++;
            }
            response = FeedJson.text(update).getBytes(StandardCharsets.UTF_8);
            responses.put(sinceVersion, response);
        }
        return response;
    }

    /** Returns how many responses with a full state were serialized. */
    synchronized long fullStateResponses() {
        return fullStateResponses;
    }
}
