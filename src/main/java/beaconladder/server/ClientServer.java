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

/** Serves clients: one thread accepts and reads all connections, within the limits of descriptors and memory. */
final class ClientServer implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(ClientServer.class);
    private static final int SWEEP_INTERVAL_MILLIS = 50;

    private final RequestDispatcher dispatcher;
    private final ServerConnectionPool serverConnections;
    private final ThreadLimit threadLimit;
    private final MemoryLimit memoryLimit;
    /** The parts of it that the clients of each cell may use for large messages; empty if there are no cells. */
    private final List<MemoryLimit> cellMemoryLimits;

    private final DescriptorLimit descriptors;
    private final ConnectionTable connectionTable;
    private final Queue<ClientConnection> resumed = new ConcurrentLinkedQueue<>();
    private Selector selector;
    private ClientAcceptor acceptor;
    /** Connections closed since the last selection began; the selector holds their descriptors until the next one. */
    private int closedSinceSelect;
    /** The graceful shutdown that has begun, or null. */
    private volatile GracefulShutdown shutdown;

    ClientServer(
            RequestDispatcher dispatcher,
            ServerConnectionPool serverConnections,
            ThreadLimit threadLimit,
            MemoryLimit memoryLimit,
            List<MemoryLimit> cellMemoryLimits,
            DescriptorLimit descriptors,
            int maxDescriptors) {
        this.dispatcher = dispatcher;
        this.serverConnections = serverConnections;
        this.threadLimit = threadLimit;
        this.memoryLimit = memoryLimit;
        this.cellMemoryLimits = cellMemoryLimits;
        this.descriptors = descriptors;
        this.connectionTable = new ConnectionTable(serverConnections, descriptors, maxDescriptors);
    }

    /** Starts listening at this address. */
    void listen(InetSocketAddress address) throws IOException {
        selector = Selector.open();
        acceptor = new ClientAcceptor(
                selector, address, descriptors, connectionTable, dispatcher.monitor(), this::register);
    }

    /** Accepts clients and reads from them until a drain has closed the last connection. */
    @Override
    public void run() {
        long lastSweepNanoTime = System.nanoTime();
        boolean listenerClosed = false;
        while (!listenerClosed || !connectionTable.all().isEmpty()) {
            try {
                int closed = closedSinceSelect;
                closedSinceSelect = 0;
                try {
                    selector.select(this::onReady, SWEEP_INTERVAL_MILLIS);
                } finally {
                    descriptors.release(DescriptorLimit.Use.CLIENT, closed);
                }
                acceptor.acceptQueued();
                resume();
                if (shutdown != null && !listenerClosed) {
                    listenerClosed = true;
                    acceptor.close();
                    connectionTable.all().forEach(client -> {
                        client.readForLastTime();
                        updateInterest(client);
                    });
                }
                long now = System.nanoTime();
                if (now - lastSweepNanoTime >= SWEEP_INTERVAL_MILLIS * 1_000_000L) {
                    lastSweepNanoTime = now;
                    sweep(now);
                }
            } catch (IOException | RuntimeException | Error e) {
                LOG.error("the client reader continues after an internal error", e);
                connectionTable.freeDescriptor();
                ConnectionTable.pauseAfterFault();
            }
        }
        finishCloses();
    }

    /**
     * Completes the closes of channels. A closed channel keeps its descriptor until the next selection, and only then
     * is the connection reset, which informs the client that its last bytes were not read. Without this selection the
     * reset would come at the exit of the process, some 400 ms later.
     */
    private void finishCloses() {
        try {
            selector.selectNow();
        } catch (IOException e) {
            LOG.warn("the last connections are closed only at the exit of the process: {}", e.toString());
        }
    }

    private void resume() {
        for (ClientConnection client = resumed.poll(); client != null; client = resumed.poll()) {
            if (connectionTable.all().contains(client) && client.resume()) {
                updateInterest(client);
                if (shutdown != null) {
                    client.closeIfIdle(Long.MAX_VALUE);
                }
            }
        }
    }

    private void onReady(SelectionKey key) {
        if (!key.isValid()) {
            return;
        }
        if (key.attachment() instanceof ClientConnection client) {
            if (client.onReadable()) {
                updateInterest(client);
            }
        } else {
            acceptor.accept();
        }
    }

    private void updateInterest(ClientConnection client) {
        SelectionKey key = ((ClientChannel.OfSocket) client.channel()).channel().keyFor(selector);
        if (key != null && key.isValid()) {
            key.interestOps(client.wantsRead() ? SelectionKey.OP_READ : 0);
        }
    }

    private void register(SocketChannel channel) {
        ClientConnection client =
                new ClientConnection(this, dispatcher, serverConnections, new ClientChannel.OfSocket(channel));
        connectionTable.all().add(client);
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.register(selector, SelectionKey.OP_READ, client);
        } catch (IOException e) {
            LOG.debug("a client connection failed: {}", e.toString());
            client.close(CloseCause.CLIENT_BROKEN);
        }
    }

    /** Resumes reading from a client whose pipeline has space again. May be called by any thread. */
    void resume(ClientConnection client) {
        resumed.add(client);
        if (selector != null) {
            selector.wakeup();
        }
    }

    private void sweep(long nowNanoTime) {
        connectionTable.closeExcess(!cellMemoryLimits.isEmpty());
        for (ClientConnection client : connectionTable.all()) {
            if (client.sweep(nowNanoTime)) {
                updateInterest(client);
                connectionTable.closeIfLongIdle(client, nowNanoTime);
                if (shutdown != null) {
                    client.closeIfIdle(Long.MAX_VALUE);
                }
            }
        }
    }

    ConnectionTable connectionTable() {
        return connectionTable;
    }

    /** Returns the limit for large messages of all clients. */
    MemoryLimit memoryLimit() {
        return memoryLimit;
    }

    /** Returns the limit for large messages of the clients of this cell. */
    MemoryLimit memoryLimit(int cell) {
        return cellMemoryLimits.get(cell);
    }

    /** The number of open client connections. */
    int connectionCount() {
        return connectionTable.all().size();
    }

    /** Starts a client's task; returns false if no thread is available for it. */
    boolean execute(Runnable task) {
        return threadLimit.hasCapacity(1) && threadLimit.tryExecute(task);
    }

    /** Removes a client whose connection is closed. Must be called by the reader's thread. */
    void onClosed(ClientConnection client) {
        if (connectionTable.all().remove(client)) {
            closedSinceSelect++;
        }
    }

    /** The graceful shutdown that has begun, or null. */
    GracefulShutdown shutdown() {
        return shutdown;
    }

    /** Stops accepting clients, and closes each connection once no request is in flight on it. */
    void drain(GracefulShutdown gracefulShutdown) {
        shutdown = gracefulShutdown;
        selector.wakeup();
    }
}
