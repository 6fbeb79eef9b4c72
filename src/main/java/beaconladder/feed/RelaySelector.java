package beaconladder.feed;

import beaconladder.discovery.HttpFetcher;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Selects the relay that a router polls: the first by rendezvous hashing, the second while the first has failed or is
 * stale, and the others in order while neither responds. It has one connection at a time. If the responding relays are
 * stale, it settles on the first of them: the log is unavailable then, and polling further relays would only add load.
 */
final class RelaySelector implements AutoCloseable {
    /** The mean delay before a router on another relay retries the first; jitter makes it 3 to 9 s. */
    private static final long PREFERRED_RETRY_MILLIS = 6_000;

    private final List<String> preferenceOrder;
    private final Map<String, InetSocketAddress> addresses;
    private final SplittableRandom random;
    private HttpFetcher connection;
    private int connectedIndex = -1;
    private int currentIndex;
    /** The first relay of this round that responded but was stale, or -1. */
    private int firstStaleIndex = -1;

    private boolean probing = true;
    private boolean settledOnStale;
    private long preferredRetryAtNanos;
    /** The relay that may count this router, from the time below on; see {@link AcknowledgementSummary}. */
    private int countingIndex = -1;

    private long countableFromNanos;
    private boolean closed;

    /**
     * Creates a selector that connects on demand.
     *
     * @param relays the addresses by name, at least one
     */
    RelaySelector(String router, Map<String, InetSocketAddress> relays, SplittableRandom random) {
        this.preferenceOrder = Rendezvous.preferenceOrder(router, relays.keySet());
        this.addresses = Map.copyOf(relays);
        this.random = random;
        if (preferenceOrder.isEmpty()) {
            throw new IllegalArgumentException("no relay is stated");
        }
    }

    /** Returns whether it is searching for a fresh relay; polls must not wait then. */
    synchronized boolean isProbing() {
        return probing;
    }

    /** Returns whether it has settled on a stale relay, as no relay is fresh. */
    synchronized boolean isSettledOnStale() {
        return settledOnStale;
    }

    /** Returns whether the current relay may count this router, as no other relay can still do so. */
    synchronized boolean isCountable() {
        return currentIndex == countingIndex && System.nanoTime() - countableFromNanos >= 0;
    }

    /** Returns the name of the relay to poll. */
    synchronized String currentRelay() {
        return preferenceOrder.get(currentIndex);
    }

    /** Returns the connection to the current relay. */
    synchronized HttpFetcher connection() throws IOException {
        if (closed) {
            throw new IOException("closed");
        }
        if (connectedIndex != currentIndex) {
            disconnect();
            connection = new HttpFetcher(addresses.get(preferenceOrder.get(currentIndex)));
            connectedIndex = currentIndex;
        }
        return connection;
    }

    /**
     * Records a response of the current relay and selects the relay for the next poll.
     *
     * @param fresh whether the relay's lag is small and its version is not older than the router's
     */
    synchronized void onResponse(boolean fresh) {
        boolean preferredRetryDue = System.nanoTime() - preferredRetryAtNanos >= 0;
        if (fresh && currentIndex == 0 || settledOnStale && !preferredRetryDue) {
            settle(currentIndex, !fresh);
        } else if (settledOnStale || fresh && !probing && preferredRetryDue) {
            settledOnStale = false;
            probeFromFirst();
        } else if (fresh) {
            settle(currentIndex, false);
        } else if (firstStaleIndex >= 0) {
            settle(firstStaleIndex, true);
        } else {
            firstStaleIndex = currentIndex;
            probeNext();
        }
    }

    /**
     * Records a failure of the current relay and selects the next one.
     *
     * @return whether all relays have failed in this round, so that the caller has to back off
     */
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
        currentIndex = 0;
        probing = true;
        firstStaleIndex = -1;
        schedulePreferredRetry();
    }

    private boolean probeNext() {
        probing = true;
        currentIndex++;
        if (currentIndex < preferenceOrder.size()) {
            return false;
        }
        if (firstStaleIndex >= 0) {
            settle(firstStaleIndex, true);
            return false;
        }
        probeFromFirst();
        return true;
    }

    private void settle(int index, boolean stale) {
        if (probing || settledOnStale != stale) {
            schedulePreferredRetry();
        }
        currentIndex = index;
        probing = false;
        settledOnStale = stale;
        firstStaleIndex = -1;
        if (countingIndex != index) {
            countingIndex = index;
            countableFromNanos = System.nanoTime() + AcknowledgementSummary.RELAY_CHANGE_NANOS;
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
        connectedIndex = -1;
    }

    @Override
    public synchronized void close() {
        closed = true;
        disconnect();
    }
}
