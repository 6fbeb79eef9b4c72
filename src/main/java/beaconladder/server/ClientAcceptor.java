package beaconladder.server;

import beaconladder.routing.ClientShares;
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

/** Listens for clients and accepts them within the limit of descriptors. Used by the reader's thread only. */
final class ClientAcceptor {
    private static final Logger LOG = LoggerFactory.getLogger(ClientAcceptor.class);
    private static final int BACKLOG = 1024;
    /** The pause after a failed accept. */
    private static final long RETRY_DELAY_NANOS = 50_000_000;
    /** After this many consecutive failures (half a second) descriptors are freed, in case this process lacks them. */
    private static final int FAILURES_BEFORE_FREEING = 10;

    private final Selector selector;
    private final ServerSocketChannel listener;
    private final DescriptorLimit descriptors;
    private final ConnectionTable connectionTable;
    private final Monitor monitor;
    private final Consumer<SocketChannel> onAccepted;
    /** Whether clients may wait in the listener's queue for a descriptor or the end of a pause. */
    private boolean queued;

    private long retryNanoTime = System.nanoTime();
    private int consecutiveFailures;

    /** Starts listening at this address. */
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

    /** Accepts the queued clients once the pause is over. */
    void acceptQueued() {
        if (queued && System.nanoTime() - retryNanoTime >= 0) {
            accept();
        }
    }

    /**
     * Accepts queued clients while descriptors are available. The others stay in the listener's queue: their time
     * budgets run, but nothing that they send is lost.
     */
    void accept() {
        accept(System.nanoTime() + ClientShares.turnNanos(1));
    }

    /** Accepts until this {@code System.nanoTime}; the rest follows in the next pass of the reader. */
    private void accept(long endNanoTime) {
        try {
            queued = false;
            while (listener.isOpen() && System.nanoTime() < endNanoTime) {
                connectionTable.freeDescriptorsForNext(descriptors.held());
                queued = !descriptors.acquire(DescriptorLimit.Use.CLIENT);
                SocketChannel channel = queued ? null : listener.accept();
                if (channel == null) {
                    descriptors.release(DescriptorLimit.Use.CLIENT, queued ? 0 : 1);
                    break;
                }
                consecutiveFailures = 0;
                onAccepted.accept(channel);
            }
            setAccepting(!queued);
        } catch (IOException e) {
            descriptors.release(DescriptorLimit.Use.CLIENT, 1);
            onFailure(e);
        }
    }

    /**
     * Schedules another attempt after a failed accept. The cause may be temporary (an aborted connection, a full system
     * table) or a shortage of descriptors in this process, so existing connections are served on, and only repeated
     * failures close one of them.
     */
    private void onFailure(IOException cause) {
        consecutiveFailures++;
        retryNanoTime = System.nanoTime() + RETRY_DELAY_NANOS;
        queued = listener.isOpen();
        monitor.counters().add("network", LocalNetworkFault.ACCEPT);
        if (consecutiveFailures == 1) {
            LOG.warn("accepting clients failed, retrying: {}", cause.toString());
        }
        if (consecutiveFailures > FAILURES_BEFORE_FREEING) {
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

    /** Closes the listener after accepting the clients in its queue, whose connections the close would reset. */
    void close() {
        accept(Long.MAX_VALUE);
        try {
            listener.close();
        } catch (IOException e) {
            LOG.warn("closing the listener failed: {}", e.toString());
        }
    }
}
