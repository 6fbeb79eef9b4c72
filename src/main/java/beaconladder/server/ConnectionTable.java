package beaconladder.server;

import java.util.Comparator;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** The clients that are here, and who of them goes first where room is short. */
final class ConnectionTable {
    /** Who was busy so lately may have a query on its way. */
    private static final long LATELY = 100_000_000;
    /** Clients that come back do so within a second or two; past that a connection is mostly left behind. */
    private static final long LONG_IDLE = 2_500_000_000L;

    private final ServerConnectionPool lines;
    private final int most;
    /** Clients hold at most a third of the descriptors for their txns. */
    private final int share;
    /** So many connections may be held by those who have asked for nothing yet that is served here. */
    private final int mostStrangers;

    private final Set<ClientConnection> all = ConcurrentHashMap.newKeySet();
    /** Decides nothing, so it needs no seed that is told; each process has other keys. */
    private final SplittableRandom keys = new SplittableRandom(System.nanoTime());

    /**
     * Nobody yet.
     *
     * @param stated the descriptors that the settings allow to the whole program
     */
    ConnectionTable(ServerConnectionPool lines, DescriptorLimit descriptors, int stated) {
        this.lines = lines;
        this.most = descriptors.most();
        this.share = stated / 3;
        this.mostStrangers = Math.max(8, most / 5);
    }

    /** Somebody asks to cancel what is in hand on the connection of this key. */
    void cancel(long key) {
        all.stream().filter(client -> client.key() == key).forEach(ClientConnection::cancel);
    }

    /** A key for one more; for several threads. */
    synchronized long newKey() {
        return keys.nextLong();
    }

    Set<ClientConnection> all() {
        return all;
    }

    /** Before one more is taken in, so many descriptors being held. */
    void makeRoomFor(int held) {
        if (all.stream().filter(client -> !client.known()).count() >= mostStrangers) {
            closeOldest(client -> !client.known());
        }
        if (held >= most) {
            makeRoom();
        }
    }

    /** Who has said nothing goes first, then idle connections to hosts, then idle clients. */
    void makeRoom() {
        if (!closeOldest(client -> !client.known()) && !lines.closeOldestIdle()) {
            closeOldest(client -> true);
        }
    }

    private boolean closeOldest(Predicate<ClientConnection> of) {
        long lately = System.nanoTime() - LATELY;
        // Their tasks go on meanwhile: what is sorted by must not change under the sort.
        record Aged(ClientConnection client, long usedAt) {}

        return all.stream()
                .filter(of)
                .filter(client -> !client.ending())
                .map(client -> new Aged(client, client.usedAt()))
                .filter(aged -> aged.usedAt() < lately)
                .sorted(Comparator.comparingLong(Aged::usedAt))
                .anyMatch(aged -> aged.client().closeIfIdle(lately));
    }

    /** Whether a client that has just come can't be kept. */
    boolean full() {
        int held = all.size() + lines.openCount();
        // Those who have been told to go still hold theirs for a moment, beside those that are served.
        return held > most
                && held - all.stream().filter(ClientConnection::ending).count() > most;
    }

    /**
     * Ends those that hold more than their share of the connections, the longest idle first.
     *
     * @param cells whether those of a cell that holds more than its own go before others
     */
    void thin(boolean cells) {
        // Clients that ask once and stay would leave none of their share for those who come to ask.
        long crowd = all.stream()
                        .filter(client -> client.known() && !client.ending())
                        .count()
                - share / 2;
        while (crowd-- > 0
                && (cells && closeOldest(ClientConnection::borrows) || closeOldest(ClientConnection::known))) {
            continue;
        }
    }

    /** Ends one that has lain idle long, while there are many. */
    void thin(ClientConnection client, long now) {
        if (all.size() > most / 8 && client.usedAt() < now - LONG_IDLE) {
            client.closeIfIdle(now - LONG_IDLE);
        }
    }

    /** After a fault: it may go on by itself for a while. */
    static void pause() {
        try {
            Thread.sleep(10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
