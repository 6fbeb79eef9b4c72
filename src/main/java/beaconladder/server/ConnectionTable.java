package beaconladder.server;

import java.util.Comparator;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** Holds the open client connections and selects which of them to close first when descriptors are short. */
final class ConnectionTable {
    /** The time after a client's last activity during which its next query may be on the network. */
    private static final long RECENTLY_USED_NANOS = 100_000_000;
    /** Most clients that reuse a connection do so within two seconds; one that is idle longer is probably abandoned. */
    private static final long LONG_IDLE_NANOS = 2_500_000_000L;

    /** The divisor of the configured descriptors for {@link #requestShare}. */
    private static final int REQUEST_SHARE_DIVISOR = 3;
    /** The divisor of the served connections for those on which no valid request has arrived yet. */
    private static final int WITHOUT_REQUEST_DIVISOR = 5;
    /** Lower bound of the limit for connections on which no valid request has arrived yet. */
    private static final int MIN_WITHOUT_REQUEST = 8;
    /** Connections that are idle for long are closed while there are more than the served ones divided by this. */
    private static final int LONG_IDLE_CHECK_DIVISOR = 8;

    private static final int ERROR_PAUSE_MILLIS = 10;

    private final ServerConnectionPool serverConnections;
    private final int maxServed;
    /** A third of the descriptors; half of that is the limit for connections of clients that have sent requests. */
    private final int requestShare;
    /** The limit for connections on which no valid request has arrived yet. */
    private final int maxWithoutRequest;

    private final Set<ClientConnection> all = ConcurrentHashMap.newKeySet();
    /** Generates cancel keys. Routing does not depend on them, so each process has a seed of its own. */
    private final SplittableRandom keys = new SplittableRandom(System.nanoTime());

    /**
     * Creates an empty table.
     *
     * @param maxDescriptors the configured number of descriptors of the whole process
     */
    ConnectionTable(ServerConnectionPool serverConnections, DescriptorLimit descriptors, int maxDescriptors) {
        this.serverConnections = serverConnections;
        this.maxServed = descriptors.maxServed();
        this.requestShare = maxDescriptors / REQUEST_SHARE_DIVISOR;
        this.maxWithoutRequest = Math.max(MIN_WITHOUT_REQUEST, maxServed / WITHOUT_REQUEST_DIVISOR);
    }

    /** Cancels the query whose answer is due next on the connection with this key. */
    void cancel(long key) {
        all.stream().filter(client -> client.cancelKey() == key).forEach(ClientConnection::cancel);
    }

    /** Returns a cancel key for a new connection. May be called by any thread. */
    synchronized long newCancelKey() {
        return keys.nextLong();
    }

    Set<ClientConnection> all() {
        return all;
    }

    /** Closes connections, if descriptors are short, before one more is accepted. */
    void freeDescriptorsForNext(int held) {
        if (withoutRequest() >= maxWithoutRequest) {
            closeOldest(client -> !client.activity().hasSentRequest());
        }
        if (held >= maxServed && held - ending() >= maxServed) {
            freeDescriptor();
        }
    }

    private long withoutRequest() {
        return all.stream()
                .filter(client ->
                        !client.activity().hasSentRequest() && !client.end().leavesUnread())
                .count();
    }

    /** The number of connections that were idle and are closed as soon as their clients have received all answers. */
    private long ending() {
        return all.stream().filter(client -> client.end().leavesUnread()).count();
    }

    /** Closes a client that has sent no request, else an idle connection to a host, else an idle client. */
    void freeDescriptor() {
        if (!closeOldest(client -> !client.activity().hasSentRequest()) && !serverConnections.closeOldestIdle()) {
            closeOldest(client -> true);
        }
    }

    private boolean closeOldest(Predicate<ClientConnection> eligible) {
        long idleBeforeNanoTime = System.nanoTime() - RECENTLY_USED_NANOS;
        // The clients' tasks run concurrently, so the sort key is copied: it must not change during the sort.
        record Aged(ClientConnection client, long lastUsedNanoTime) {}

        return all.stream()
                .filter(eligible)
                .filter(client -> !client.activity().isClosing())
                .map(client -> new Aged(client, client.activity().lastUsedNanoTime()))
                .filter(aged -> aged.lastUsedNanoTime() < idleBeforeNanoTime)
                .sorted(Comparator.comparingLong(Aged::lastUsedNanoTime))
                .anyMatch(aged -> aged.client().closeIfIdle(idleBeforeNanoTime));
    }

    /** Whether a client that has just connected must be rejected. */
    boolean isFull() {
        int held = all.size() + serverConnections.openCount();
        // Closing connections still hold descriptors, in addition to those that are served.
        return held > maxServed && held - closing() > maxServed;
    }

    private long closing() {
        return all.stream().filter(client -> client.activity().isClosing()).count();
    }

    /**
     * Closes connections beyond the share of clients that have sent requests, the longest idle first.
     *
     * @param byCellQuota whether connections of cells that exceed their quota are closed before others
     */
    void closeExcess(boolean byCellQuota) {
        // Otherwise clients that send one request and stay connected would use up the share of new clients.
        long excess = all.stream()
                        .filter(client -> client.activity().hasSentRequest()
                                && !client.activity().isClosing())
                        .count()
                - requestShare / 2;
        while (excess-- > 0
                && (byCellQuota && closeOldest(ClientConnection::exceedsCellQuota)
                        || closeOldest(client -> client.activity().hasSentRequest()))) {
            continue;
        }
    }

    /** Closes a connection that has been idle for long, if there are many connections. */
    void closeIfLongIdle(ClientConnection client, long nowNanoTime) {
        if (all.size() > maxServed / LONG_IDLE_CHECK_DIVISOR
                && client.activity().lastUsedNanoTime() < nowNanoTime - LONG_IDLE_NANOS) {
            client.closeIfIdle(nowNanoTime - LONG_IDLE_NANOS);
        }
    }

    /** Pauses the reader after an error that may recur for a while. */
    static void pauseAfterFault() {
        try {
            Thread.sleep(ERROR_PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
