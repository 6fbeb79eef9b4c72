package beaconladder.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Listens for clients and accepts them, within the limit of descriptors; for the reader's thread alone. */
final class ClientAcceptor {
    private static final Logger LOG = LoggerFactory.getLogger(ClientAcceptor.class);
    private static final int BACKLOG = 1024;
    /** The pause after an accept that failed. */
    private static final long RETRY_DELAY_NANOS = 50_000_000;
    /** After this many consecutive failures, half a second, a descriptor is freed: the shortage may be our own. */
    private static final int FAILURES_BEFORE_FREEING = 10;

    private final Selector selector;
    private final ServerSocketChannel listener;
    private final DescriptorLimit descriptors;
    private final ConnectionTable connectionTable;
    private final Monitor monitor;
    private final Consumer<SocketChannel> onAccepted;
    /** Whether clients wait in the listener's queue, for a descriptor or for the end of a pause. */
    private boolean queued;

    private long retryNanoTime = System.nanoTime();
    private int failures;

    /** Listens at this address from now on. */
    ClientAcceptor(
            Selector selector,
            InetSocketAddress address,
            DescriptorLimit descriptors,
            ConnectionTable connectionTable,
            Monitor monitor,
            Consumer<SocketChannel> onAccepted)
            throws IOException {
        this.selector = selector;
        this.descriptors = descriptors;
        this.connectionTable = connectionTable;
        this.monitor = monitor;
        this.onAccepted = onAccepted;
        listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(address, BACKLOG);
        listener.configureBlocking(false);
        listener.register(selector, SelectionKey.OP_ACCEPT);
    }

    /** Accepts the clients that had to wait, once the pause is over. */
    void acceptQueued() {
        if (queued && System.nanoTime() - retryNanoTime >= 0) {
            accept();
        }
    }

    /**
     * Accepts the clients that wait, while there are descriptors: the others stay in the listener's queue, where their
     * time runs but nothing that they send is lost.
     */
    void accept() {
        try {
            queued = false;
            while (listener.isOpen()) {
                connectionTable.freeDescriptorsForNext(descriptors.held());
                queued = !descriptors.acquire(DescriptorLimit.Use.CLIENT);
                SocketChannel channel = queued ? null : listener.accept();
                if (channel == null) {
                    descriptors.release(DescriptorLimit.Use.CLIENT, queued ? 0 : 1);
                    break;
                }
                failures = 0;
                onAccepted.accept(channel);
            }
            setAccepting(!queued);
        } catch (IOException e) {
            descriptors.release(DescriptorLimit.Use.CLIENT, 1);
            onFailure(e);
        }
    }

    /**
     * The system accepts no connection now, for a cause that may be temporary (a connection that was aborted, a table
     * that is full), so no connection is closed for it at once, and the others are still served.
     */
    private void onFailure(IOException cause) {
        failures++;
        retryNanoTime = System.nanoTime() + RETRY_DELAY_NANOS;
        queued = listener.isOpen();
        monitor.counters().add("network", LocalNetworkFault.ACCEPT);
        if (failures == 1) {
            LOG.warn("no client can be taken in, tried again: {}", cause.toString());
        }
        if (failures > FAILURES_BEFORE_FREEING) {
            connectionTable.freeDescriptor();
        }
        setAccepting(false);
    }

    private void setAccepting(boolean accepting) {
        SelectionKey key = listener.keyFor(selector);
        if (key != null && key.isValid()) {
            key.interestOps(accepting ? SelectionKey.OP_ACCEPT : 0);
        }
    }

    /** Closes the listener after accepting all clients in its queue, which the close would reset. */
    void close() {
        accept();
        try {
            listener.close();
        } catch (IOException e) {
            LOG.warn("the listener: {}", e.toString());
        }
    }
}
