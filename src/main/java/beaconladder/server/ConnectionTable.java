package beaconladder.server;

import java.util.Comparator;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** The client connections that are open, and which of them are closed first where descriptors are short. */
final class ConnectionTable {
    /** A client that was active within this time may have a query on its way. */
    private static final long RECENTLY_USED_NANOS = 100_000_000;
    /** Most clients that reuse a connection do so within two seconds; one idle for longer is probably abandoned. */
    private static final long LONG_IDLE_NANOS = 2_500_000_000L;

    private final ServerConnectionPool serverConnections;
    private final int maxServed;
    /** Half of this many connections may stay with clients that have sent requests: of a third of the descriptors. */
    private final int requestShare;
    /** The limit for connections on which no valid request has arrived yet. */
    private final int maxWithoutRequest;

    private final Set<ClientConnection> all = ConcurrentHashMap.newKeySet();
    /** Routing does not depend on it, so it needs no configured seed; each process has different keys. */
    private final SplittableRandom keys = new SplittableRandom(System.nanoTime());

    /**
     * An empty table.
     *
     * @param maxDescriptors the descriptors that the settings allow to the whole process
     */
    ConnectionTable(ServerConnectionPool serverConnections, DescriptorLimit descriptors, int maxDescriptors) {
        this.serverConnections = serverConnections;
        this.maxServed = descriptors.maxServed();
        this.requestShare = maxDescriptors / 3;
        this.maxWithoutRequest = Math.max(8, maxServed / 5);
    }

    /** Cancels the query whose answer is due next on the connection of this key. */
    void cancel(long key) {
        all.stream().filter(client -> client.cancelKey() == key).forEach(ClientConnection::cancel);
    }

    /** A key for a new connection; for any thread. */
    synchronized long newCancelKey() {
        return keys.nextLong();
    }

    Set<ClientConnection> all() {
        return all;
    }

    /** Closes connections where descriptors are short before one more is accepted. */
    void freeDescriptorsForNext(int held) {
        if (all.stream().filter(client -> !client.activity().hasSentRequest()).count() >= maxWithoutRequest) {
            closeOldest(client -> !client.activity().hasSentRequest());
        }
        if (held >= maxServed) {
            freeDescriptor();
        }
    }

    /** Clients without a request are closed first, then idle connections to hosts, then idle clients. */
    void freeDescriptor() {
        if (!closeOldest(client -> !client.activity().hasSentRequest()) && !serverConnections.closeOldestIdle()) {
            closeOldest(client -> true);
        }
    }

    private boolean closeOldest(Predicate<ClientConnection> eligible) {
        long recently = System.nanoTime() - RECENTLY_USED_NANOS;
        // Their tasks run meanwhile: the sort key must not change during the sort.
        record Aged(ClientConnection client, long lastUsedNanoTime) {}

        return all.stream()
                .filter(eligible)
                .filter(client -> !client.activity().isClosing())
                .map(client -> new Aged(client, client.activity().lastUsedNanoTime()))
                .filter(aged -> aged.lastUsedNanoTime() < recently)
                .sorted(Comparator.comparingLong(Aged::lastUsedNanoTime))
                .anyMatch(aged -> aged.client().closeIfIdle(recently));
    }

    /** Whether a client that has just connected has to be rejected. */
    boolean isFull() {
        int held = all.size() + serverConnections.openCount();
        // Closing connections hold descriptors for a moment longer, beyond those that are served.
        return held > maxServed && held - closing() > maxServed;
    }

    private long closing() {
        return all.stream().filter(client -> client.activity().isClosing()).count();
    }

    /**
     * Closes connections beyond the share that clients with requests may hold, the longest idle first.
     *
     * @param cells whether connections of a cell beyond its quota are closed before others
     */
    void closeExcess(boolean cells) {
        // Otherwise clients that send one request and stay would leave nothing of the share to new clients.
        long excess = all.stream()
                        .filter(client -> client.activity().hasSentRequest()
                                && !client.activity().isClosing())
                        .count()
                - requestShare / 2;
        while (excess-- > 0
                && (cells && closeOldest(ClientConnection::exceedsCellQuota)
                        || closeOldest(client -> client.activity().hasSentRequest()))) {
            continue;
        }
    }

    /** Closes a connection that has been idle for long, while there are many. */
    void closeIfLongIdle(ClientConnection client, long nowNanoTime) {
        if (all.size() > maxServed / 8 && client.activity().lastUsedNanoTime() < nowNanoTime - LONG_IDLE_NANOS) {
            client.closeIfIdle(nowNanoTime - LONG_IDLE_NANOS);
        }
    }

    /** Pauses the reader after a fault that may persist for a while. */
    static void pauseAfterFault() {
        try {
            Thread.sleep(10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
