package beaconladder.feed;

import beaconladder.discovery.HttpFetcher;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Which relay a router polls: its first by rendezvous hashing; the second while the first has failed or is stale; the
 * others in their order while neither responds. One connection at a time. Where the responding relays are stale it
 * settles on the first of them: the log is unavailable, and going round would help nobody.
 */
final class RelaySelector implements AutoCloseable {
    /** Mean time from another relay back to the first, by a jitter of half to one and a half of it: 3 to 9 s. */
    private static final long PREFERRED_RETRY_MILLIS = 6_000;

    private final List<String> order;
    private final Map<String, InetSocketAddress> addresses;
    private final SplittableRandom random;
    private HttpFetcher connection;
    private int connectedRelay = -1;
    private int current;
    /** The first relay of this round that responded and was stale, or -1. */
    private int firstStale = -1;

    private boolean probing = true;
    private boolean settledOnStale;
    private long preferredRetryAtNanos;
    /** The relay that may count this router, and from when on; see {@link AcknowledgementSummary}. */
    private int countingRelay = -1;

    private long countableFromNanos;
    private boolean closed;

    /**
     * Connects only on demand.
     *
     * @param relays addresses by name, at least one
     */
    RelaySelector(String router, Map<String, InetSocketAddress> relays, SplittableRandom random) {
        this.order = Rendezvous.order(router, relays.keySet());
        this.addresses = Map.copyOf(relays);
        this.random = random;
        if (order.isEmpty()) {
            throw new IllegalArgumentException("no relay is stated");
        }
    }

    /** Whether it still searches for a fresh relay; polls must not wait then. */
    synchronized boolean isProbing() {
        return probing;
    }

    /** Whether it stays with a relay that is stale. */
    synchronized boolean isSettledOnStale() {
        return settledOnStale;
    }

    /** Whether the current relay may count this router: no other relay can still do so. */
    synchronized boolean isCountable() {
        return current == countingRelay && System.nanoTime() - countableFromNanos >= 0;
    }

    /** The name of the relay to poll. */
    synchronized String currentRelay() {
        return order.get(current);
    }

    /** The connection to the current relay. */
    synchronized HttpFetcher connection() throws IOException {
        if (closed) {
            throw new IOException("closed");
        }
        if (connectedRelay != current) {
            disconnect();
            connection = new HttpFetcher(addresses.get(order.get(current)));
            connectedRelay = current;
        }
        return connection;
    }

    /**
     * The current relay responded.
     *
     * @param fresh whether it knows the log's newest version, and that is not older than the router's
     */
    synchronized void onResponse(boolean fresh) {
        boolean preferredRetryDue = System.nanoTime() - preferredRetryAtNanos >= 0;
        if (fresh && current == 0 || settledOnStale && !preferredRetryDue) {
            settle(current, !fresh);
        } else if (settledOnStale || fresh && !probing && preferredRetryDue) {
            settledOnStale = false;
            probeFromFirst();
        } else if (fresh) {
            settle(current, false);
        } else if (firstStale >= 0) {
            settle(firstStale, true);
        } else {
            firstStale = current;
            probeNext();
        }
    }

    /** The current relay did not respond. Returns true if none of them did in this round: the caller backs off then. */
    synchronized boolean onFailure() {
        disconnect();
        if (settledOnStale) {
            settledOnStale = false;
            probeFromFirst();
            return false;
        }
        return probeNext();
    }

    private void probeFromFirst() {
        current = 0;
        probing = true;
        firstStale = -1;
        schedulePreferredRetry();
    }

    private boolean probeNext() {
        probing = true;
        current++;
        if (current < order.size()) {
            return false;
        }
        if (firstStale >= 0) {
            settle(firstStale, true);
            return false;
        }
        probeFromFirst();
        return true;
    }

    private void settle(int relay, boolean stale) {
        if (probing || settledOnStale != stale) {
            schedulePreferredRetry();
        }
        current = relay;
        probing = false;
        settledOnStale = stale;
        firstStale = -1;
        if (countingRelay != relay) {
            countingRelay = relay;
            countableFromNanos = System.nanoTime() + AcknowledgementSummary.RELOCATION_NANOS;
        }
    }

    private void schedulePreferredRetry() {
        long delayMillis = PREFERRED_RETRY_MILLIS / 2 + random.nextLong(PREFERRED_RETRY_MILLIS);
        preferredRetryAtNanos = System.nanoTime() + delayMillis * 1_000_000;
    }

    private void disconnect() {
        if (connection != null) {
            connection.close();
        }
        connection = null;
        connectedRelay = -1;
    }

    @Override
    public synchronized void close() {
        closed = true;
        disconnect();
    }
}
