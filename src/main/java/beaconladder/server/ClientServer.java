package beaconladder.server;

import beaconladder.pg.MemoryLimit;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes clients in, within the descriptors there are. */
final class ClientServer implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(ClientServer.class);
    private static final int SWEEP_MILLIS = 50;

    private final RequestDispatcher desk;
    private final ServerConnectionPool lines;
    private final ThreadLimit threads;
    private final MemoryLimit room;
    /** Of it, what the clients of each cell may take for large messages; empty where there are no cells. */
    private final List<MemoryLimit> rooms;

    private final DescriptorLimit descriptors;
    private final ConnectionTable crowd;
    private final Queue<ClientConnection> resumed = new ConcurrentLinkedQueue<>();
    private Selector selector;
    private ClientAcceptor acceptor;
    /** Closed since the last selection began: the selector holds their descriptors until the next one. */
    private int closing;
    /** The planned end that has come, or null. */
    private volatile GracefulShutdown draining;

    ClientServer(
            RequestDispatcher desk,
            ServerConnectionPool lines,
            ThreadLimit threads,
            MemoryLimit room,
            List<MemoryLimit> rooms,
            DescriptorLimit descriptors,
            int stated) {
        this.desk = desk;
        this.lines = lines;
        this.threads = threads;
        this.room = room;
        this.rooms = rooms;
        this.descriptors = descriptors;
        this.crowd = new ConnectionTable(lines, descriptors, stated);
    }

    void listen(InetSocketAddress address) throws IOException {
        selector = Selector.open();
        acceptor = new ClientAcceptor(selector, address, descriptors, crowd, desk.monitor(), this::take);
    }

    /** Reads for all clients until the last has gone after the end. */
    @Override
    public void run() {
        long swept = System.nanoTime();
        boolean ends = false;
        while (!ends || !crowd.all().isEmpty()) {
            try {
                int closed = closing;
                closing = 0;
                try {
                    selector.select(this::ready, SWEEP_MILLIS);
                } finally {
                    descriptors.release(DescriptorLimit.Use.CLIENT, closed);
                }
                acceptor.acceptQueued();
                resume();
                if (draining != null && !ends) {
                    ends = true;
                    acceptor.close();
                    crowd.all().forEach(client -> {
                        client.lastLook();
                        interest(client);
                    });
                }
                long now = System.nanoTime();
                if (now - swept >= SWEEP_MILLIS * 1_000_000L) {
                    swept = now;
                    sweep(now);
                }
            } catch (IOException | RuntimeException | Error e) {
                LOG.error("reading for clients goes on after a fault", e);
                crowd.makeRoom();
                ConnectionTable.pause();
            }
        }
        finishCloses();
    }

    /**
     * A channel that was closed keeps its descriptor until the next selection, and what its client sent last is told
     * unread by a reset only then. Left to the end of the process that would come some 400 ms later.
     */
    private void finishCloses() {
        try {
            selector.selectNow();
        } catch (IOException e) {
            LOG.warn("the last closes are left to the end of the process: {}", e.toString());
        }
    }

    private void resume() {
        for (ClientConnection client = resumed.poll(); client != null; client = resumed.poll()) {
            if (crowd.all().contains(client) && client.resume()) {
                interest(client);
                if (draining != null) {
                    client.closeIfIdle(Long.MAX_VALUE);
                }
            }
        }
    }

    private void ready(SelectionKey key) {
        if (!key.isValid()) {
            return;
        }
        if (key.attachment() instanceof ClientConnection client) {
            if (client.onReadable()) {
                interest(client);
            }
        } else {
            acceptor.accept();
        }
    }

    private void interest(ClientConnection client) {
        SelectionKey key = ((ClientChannel.Real) client.wire()).channel().keyFor(selector);
        if (key != null && key.isValid()) {
            key.interestOps(client.reads() ? SelectionKey.OP_READ : 0);
        }
    }

    private void take(SocketChannel channel) {
        ClientConnection client = new ClientConnection(this, desk, lines, new ClientChannel.Real(channel));
        crowd.all().add(client);
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.register(selector, SelectionKey.OP_READ, client);
        } catch (IOException e) {
            LOG.debug("a client's connection broke: {}", e.toString());
            client.leave(CloseCause.CLIENT_BROKEN);
        }
    }

    /** A client's task has room again for what the client wrote ahead. */
    void resume(ClientConnection client) {
        resumed.add(client);
        if (selector != null) {
            selector.wakeup();
        }
    }

    private void sweep(long now) {
        crowd.thin(!rooms.isEmpty());
        for (ClientConnection client : crowd.all()) {
            if (client.sweep(now)) {
                interest(client);
                crowd.thin(client, now);
                if (draining != null) {
                    client.closeIfIdle(Long.MAX_VALUE);
                }
            }
        }
    }

    ConnectionTable crowd() {
        return crowd;
    }

    MemoryLimit room() {
        return room;
    }

    MemoryLimit room(int cell) {
        return rooms.get(cell);
    }

    int connectionCount() {
        return crowd.all().size();
    }

    /** Starts a client's task; false when there is no thread left for it. */
    boolean execute(Runnable task) {
        return threads.hasCapacity(1) && threads.tryExecute(task);
    }

    /** For the reader alone, once the client's connection is closed. */
    void gone(ClientConnection client) {
        if (crowd.all().remove(client)) {
            closing++;
        }
    }

    /** The planned end that has come, or null. */
    GracefulShutdown draining() {
        return draining;
    }

    /** Takes no more clients in, and ends each connection once nothing is in hand on it. */
    void drain(GracefulShutdown drain) {
        draining = drain;
        selector.wakeup();
    }
}
