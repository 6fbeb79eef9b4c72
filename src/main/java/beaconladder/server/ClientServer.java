package beaconladder.server;

import beaconladder.pg.MemoryLimit;
import beaconladder.routing.ClientShares;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves clients: one thread accepts and reads all connections, within the limits of descriptors and memory. */
final class ClientServer implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(ClientServer.class);
    private static final int SWEEP_INTERVAL_MILLIS = 50;
    /** Clients wait for the end of the reader's pass; from this length on it is counted and logged. */
    private static final long LONG_PASS_NANOS = 100_000_000L;
    /** Bound of one read of bytes that are discarded; as much as the JDK keeps a buffer for outside of the heap. */
    private static final int MAX_DISCARD_BYTES = 16 * 1024;

    private final RequestDispatcher dispatcher;
    private final ServerConnectionPool serverConnections;
    private final ThreadLimit threadLimit;
    private final MemoryLimit memoryLimit;
    /** The parts of it that the clients of each cell may use for large messages; empty if there are no cells. */
    private final List<MemoryLimit> cellMemoryLimits;

    private final DescriptorLimit descriptors;
    private final ConnectionTable connectionTable;
    /** The memory of the queries that wait, and of the large answers that are not written. */
    private final MemoryPool queryMemory;

    private final MemoryPool answerMemory;
    private final ResourceUse resourceUse;
    /** The connections whose answers or interests have to be looked at. */
    private final Queue<ClientConnection> attention = new ConcurrentLinkedQueue<>();
    /** The connections that have sent something and wait for their turn. */
    private final Set<ClientConnection> readable = new LinkedHashSet<>();
    /** Receives the bytes that are discarded. */
    private final ByteBuffer discarded = ByteBuffer.allocate(MAX_DISCARD_BYTES);

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
        this.queryMemory = new MemoryPool(memoryLimit.availableBytes(), ClientShares::mayQueue);
        this.answerMemory = new MemoryPool(memoryLimit.availableBytes(), ClientShares::mayKeepAnswer);
        this.resourceUse = new ResourceUse(dispatcher.monitor());
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
                    select();
                } finally {
                    descriptors.release(DescriptorLimit.Use.CLIENT, closed);
                }
                long passBeginNanoTime = System.nanoTime();
                acceptor.acceptQueued();
                handleAttentionRequests();
                giveTurns();
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
                recordPass(System.nanoTime() - passBeginNanoTime);
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

    private void select() throws IOException {
        if (readable.isEmpty()) {
            selector.select(this::onReady, SWEEP_INTERVAL_MILLIS);
        } else {
            selector.selectNow(this::onReady);
        }
    }

    private void onReady(SelectionKey key) {
        if (!key.isValid()) {
            return;
        }
        if (!(key.attachment() instanceof ClientConnection client)) {
            acceptor.accept();
            return;
        }
        if (key.isWritable()) {
            client.end().onWritable();
            requestAttention(client);
        }
        if (key.isReadable() && client.end().onReadReady()) {
            readable.add(client);
        }
    }

    /** Looks at the connections that need it, each once, so that others can't keep the reader from its next step. */
    private void handleAttentionRequests() {
        int count = attention.size();
        long turnNanos = ClientShares.turnNanos(count);
        for (int i = 0; i < count; i++) {
            ClientConnection client = attention.poll();
            if (connectionTable.all().contains(client) && client.writeAnswers(turnNanos)) {
                if (shutdown != null) {
                    client.closeIfIdle(Long.MAX_VALUE);
                }
                updateInterest(client);
            }
        }
    }

    /** Reads from each client that has sent something, for a limited time; the rest waits for the next pass. */
    private void giveTurns() {
        List<ClientConnection> clients = List.copyOf(readable);
        readable.clear();
        long turnNanos = ClientShares.turnNanos(clients.size());
        for (ClientConnection client : clients) {
            if (connectionTable.all().contains(client) && client.onReadable(turnNanos)) {
                updateInterest(client);
                giveAnotherTurnIfNeeded(client);
            }
        }
    }

    /** Messages that were read and not handled are not reported by the selector again. */
    private void giveAnotherTurnIfNeeded(ClientConnection client) {
        if (client.hasMessagesLeft()) {
            readable.add(client);
        }
    }

    private void recordPass(long passNanos) {
        if (passNanos > LONG_PASS_NANOS) {
            dispatcher.monitor().counters().add("reader", ReaderDelay.LONG_PASS);
            LOG.warn("the reader took {} ms for one pass over its clients", passNanos / 1_000_000);
        }
    }

    private void updateInterest(ClientConnection client) {
        SelectionKey key = ((ClientChannel.OfSocket) client.channel()).channel().keyFor(selector);
        if (key != null && key.isValid()) {
            key.interestOps((client.wantsRead() ? SelectionKey.OP_READ : 0)
                    | (client.wantsWrite() ? SelectionKey.OP_WRITE : 0));
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

    /** Makes the reader look at a connection whose client receives no more, or is to be closed. By any thread. */
    void requestAttention(ClientConnection client) {
        if (client.requestAttention()) {
            attention.add(client);
            if (selector != null) {
                selector.wakeup();
            }
        }
    }

    private void sweep(long nowNanoTime) {
        connectionTable.closeExcess(!cellMemoryLimits.isEmpty());
        resourceUse.record(SharedResource.QUERY_MEMORY, queryMemory.freeBytes(), queryMemory.poolBytes());
        resourceUse.record(SharedResource.ANSWER_MEMORY, answerMemory.freeBytes(), answerMemory.poolBytes());
        resourceUse.record(SharedResource.THREADS, threadLimit.freeThreads(), threadLimit.maxThreads());
        for (ClientConnection client : connectionTable.all()) {
            if (client.sweep(nowNanoTime)) {
                connectionTable.closeIfLongIdle(client, nowNanoTime);
                if (shutdown != null) {
                    client.closeIfIdle(Long.MAX_VALUE);
                }
                updateInterest(client);
                // Also those that were read to see whether they are idle, here or while a descriptor was freed.
                giveAnotherTurnIfNeeded(client);
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

    /**
     * Reads once from a client and discards what it reads; returns its length, or -1 at the end of the stream. Must be
     * called by the reader's thread.
     */
    int discardFrom(ClientChannel channel) throws IOException {
        discarded.clear();
        return channel.read(discarded);
    }

    /** The memory of the queries that wait. */
    MemoryPool queryMemory() {
        return queryMemory;
    }

    /** The memory of the large answers that are not written. */
    MemoryPool answerMemory() {
        return answerMemory;
    }

    /** Starts a task of a client that has this many others; returns false if no thread is available for it. */
    boolean execute(Runnable task, int otherTasks) {
        return ClientShares.mayUseThread(otherTasks, threadLimit.freeThreads()) && threadLimit.tryExecute(task);
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
