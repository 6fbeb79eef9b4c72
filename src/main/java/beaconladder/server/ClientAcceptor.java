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

/** Listens for clients and takes them in, within the descriptors there are; for the reader's thread alone. */
final class ClientAcceptor {
    private static final Logger LOG = LoggerFactory.getLogger(ClientAcceptor.class);
    private static final int BACKLOG = 1024;
    /** So long nobody is taken in after the system gave no connection. */
    private static final long REST_NANOS = 50_000_000;
    /** After so many failures on end, half a second, room is made: it may be ours that lacks. */
    private static final int PATIENT_FAILURES = 10;

    private final Selector selector;
    private final ServerSocketChannel listener;
    private final DescriptorLimit descriptors;
    private final ConnectionTable crowd;
    private final Monitor monitor;
    private final Consumer<SocketChannel> taker;
    /** Whether clients wait in the listener's queue, for a descriptor or for the end of a rest. */
    private boolean queued;

    private long againAt = System.nanoTime();
    private int failures;

    /** Listens at this address from now on. */
    ClientAcceptor(
            Selector selector,
            InetSocketAddress address,
            DescriptorLimit descriptors,
            ConnectionTable crowd,
            Monitor monitor,
            Consumer<SocketChannel> taker)
            throws IOException {
        this.selector = selector;
        this.descriptors = descriptors;
        this.crowd = crowd;
        this.monitor = monitor;
        this.taker = taker;
        listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(address, BACKLOG);
        listener.configureBlocking(false);
        listener.register(selector, SelectionKey.OP_ACCEPT);
    }

    /** Takes in who had to wait, once that may help. */
    void acceptQueued() {
        if (queued && System.nanoTime() - againAt >= 0) {
            accept();
        }
    }

    /**
     * Takes in who waits, while there are descriptors: the others stay in the listener's queue, where their time runs
     * but nothing of theirs is lost.
     */
    void accept() {
        try {
            queued = false;
            while (listener.isOpen()) {
                crowd.makeRoomFor(descriptors.held());
                queued = !descriptors.acquire(DescriptorLimit.Use.CLIENT);
                SocketChannel channel = queued ? null : listener.accept();
                if (channel == null) {
                    descriptors.release(DescriptorLimit.Use.CLIENT, queued ? 0 : 1);
                    break;
                }
                failures = 0;
                taker.accept(channel);
            }
            watch(!queued);
        } catch (IOException e) {
            descriptors.release(DescriptorLimit.Use.CLIENT, 1);
            failed(e);
        }
    }

    /**
     * The system gives no connection now, for what may end by itself (a connection that was aborted, a table that is
     * full), so nobody is ended for it at once, and the others are read on.
     */
    private void failed(IOException cause) {
        failures++;
        againAt = System.nanoTime() + REST_NANOS;
        queued = listener.isOpen();
        monitor.counters().add("network", LocalNetworkFault.ACCEPT);
        if (failures == 1) {
            LOG.warn("no client can be taken in, tried again: {}", cause.toString());
        }
        if (failures > PATIENT_FAILURES) {
            crowd.makeRoom();
        }
        watch(false);
    }

    private void watch(boolean now) {
        SelectionKey key = listener.keyFor(selector);
        if (key != null && key.isValid()) {
            key.interestOps(now ? SelectionKey.OP_ACCEPT : 0);
        }
    }

    /** Ends it, with all taken in that stand in its queue: a close would reset them. */
    void close() {
        accept();
        try {
            listener.close();
        } catch (IOException e) {
            LOG.warn("the listener: {}", e.toString());
        }
    }
}
