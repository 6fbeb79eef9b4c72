package beaconladder.serve;

import beaconladder.pg.Room;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Comparator;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes clients in, within the descriptors there are. */
final class Clients implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(Clients.class);
    /** Descriptors for the program itself (about 20), the watch, and clients that are only told to go. */
    private static final int RESERVE = 64;
    private static final int BACKLOG = 1024;
    /** Who was busy so lately may have a query on its way. */
    private static final long LATELY = 100_000_000;
    /** Clients that come back do so within a second or two; past that a connection is mostly left behind. */
    private static final long LONG_IDLE = 2_500_000_000L;

    private final Desk desk;
    private final Lines lines;
    private final Threads threads;
    private final Room room;
    private final int most;
    private final int mostClients;
    /** So many connections may be held by those who have asked for nothing yet that is served here. */
    private final int mostStrangers;
    private final Set<Client> all = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private volatile boolean draining;
    private volatile boolean closed;

    Clients(Desk desk, Lines lines, Threads threads, Room room, int descriptors) {
        this.desk = desk;
        this.lines = lines;
        this.threads = threads;
        this.room = room;
        this.most = Math.max(1, descriptors - RESERVE);
        this.mostStrangers = Math.max(8, most / 5);
        // Half of the threads read for clients; a txn in hand takes one more, its task.
        this.mostClients = threads.most() / 2;
    }

    void listen(InetSocketAddress address) throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address, BACKLOG);
    }

    @Override
    public void run() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                if (all.stream().filter(client -> !client.known()).count() >= mostStrangers) {
                    closeOldest(client -> !client.known());
                }
                if (all.size() >= mostClients) {
                    closeOldest(client -> true);
                } else if (all.size() + lines.open() >= most) {
                    makeRoom();
                }
                Client client = new Client(this, desk, lines, socket);
                all.add(client);
                try {
                    threads.execute(client);
                } catch (RuntimeException | Error e) {
                    all.remove(client);
                    client.close();
                    throw e;
                }
            } catch (IOException | RuntimeException | Error e) {
                if (!closed) {
                    LOG.error("taking clients in goes on after a fault", e);
                    makeRoom();
                    pause();
                }
            }
        }
    }

    /** Who has said nothing goes first, then idle connections to hosts, then idle clients. */
    private void makeRoom() {
        if (!closeOldest(client -> !client.known()) && !lines.closeOldest()) {
            closeOldest(client -> true);
        }
    }

    private boolean closeOldest(Predicate<Client> of) {
        long lately = System.nanoTime() - LATELY;
        return all.stream().filter(of)
                .filter(client -> client.usedAt() < lately && !client.ending())
                .sorted(Comparator.comparingLong(Client::usedAt)).filter(Client::closeIfIdle).findFirst()
                .isPresent();
    }

    private static void pause() {
        try {
            Thread.sleep(10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether a client that has just come can't be kept. */
    boolean full() {
        int held = all.size() + lines.open();
        if (held <= most && all.size() <= mostClients) {
            return false;
        }
        // Those who have been told to go still hold theirs for a moment, out of half of the reserve.
        long ending = all.stream().filter(Client::ending).count();
        return held > most + RESERVE / 2 || held - ending > most || all.size() - ending > mostClients;
    }

    void sweep() {
        long now = System.nanoTime();
        boolean many = all.size() > most / 8;
        all.forEach(client -> {
            client.sweep(now);
            if (many && client.usedAt() < now - LONG_IDLE) {
                client.closeIfIdle();
            }
        });
    }

    Room room() {
        return room;
    }

    int count() {
        return all.size();
    }

    /** Starts a client's task; false when there is no thread left for it. */
    boolean execute(Runnable task) {
        if (!threads.room(1)) {
            return false;
        }
        threads.execute(task);
        return true;
    }

    void gone(Client client) {
        all.remove(client);
    }

    boolean draining() {
        return draining;
    }

    /** Takes no more clients in, and ends each connection once nothing is in hand on it. */
    void drain() {
        closed = true;
        draining = true;
        try {
            listener.close();
        } catch (IOException e) {
            LOG.warn("the listener: {}", e.toString());
        }
        all.forEach(Client::closeIfIdle);
    }
}
