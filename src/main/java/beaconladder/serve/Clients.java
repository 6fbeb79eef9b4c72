package beaconladder.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Comparator;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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

    private final Desk desk;
    private final Lines lines;
    private final Threads threads;
    private final int most;
    private final int mostClients;
    private final Set<Client> all = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private volatile boolean draining;
    private volatile boolean closed;

    Clients(Desk desk, Lines lines, Threads threads, int descriptors) {
        this.desk = desk;
        this.lines = lines;
        this.threads = threads;
        this.most = Math.max(1, descriptors - RESERVE);
        // Half of the threads read for clients; a txn in hand takes two more, its task and its call.
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
                if (all.size() >= mostClients) {
                    closeOldest();
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

    /** Connections that lie idle go first: to hosts, then of clients. */
    private void makeRoom() {
        if (!lines.closeOldest()) {
            closeOldest();
        }
    }

    private void closeOldest() {
        long lately = System.nanoTime() - LATELY;
        all.stream().filter(client -> client.usedAt() < lately && !client.ending())
                .sorted(Comparator.comparingLong(Client::usedAt)).filter(Client::closeIfIdle).findFirst();
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
        all.forEach(client -> client.sweep(now));
    }

    int count() {
        return all.size();
    }

    /** Starts a client's task; false when there is no thread left for it and the submission to come. */
    boolean execute(Runnable task) {
        if (!threads.room(2)) {
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
