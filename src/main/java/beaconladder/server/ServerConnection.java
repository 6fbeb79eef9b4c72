package beaconladder.server;

import beaconladder.pg.MemoryLimit;
import beaconladder.pg.MessageReader;
import beaconladder.pg.MessageReader.ReadStatus;
import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * A connection to a host, for one exchange at a time. Only the thread of the exchange reads and writes it; any thread
 * may close it.
 */
final class ServerConnection {
    private final Socket socket;
    private final SocketChannel channel;
    private final MemoryLimit memory;
    private MessageReader in;
    private boolean established;
    /** When the connection was last used, on System.nanoTime's clock. */
    long lastUsedNanos = System.nanoTime();

    final InetSocketAddress address;

    ServerConnection(InetSocketAddress address, MemoryLimit memory) throws IOException {
        this.address = address;
        this.memory = memory;
        this.channel = SocketChannel.open();
        this.socket = channel.socket();
    }

    /** A connection on a socket without a channel: {@link #isAlive} can't detect that the host has closed it. */
    ServerConnection(InetSocketAddress address, MemoryLimit memory, Socket socket) {
        this.address = address;
        this.memory = memory;
        this.socket = socket;
        this.channel = null;
    }

    /** The result of opening a connection. */
    enum OpenResult {
        OPEN,
        HOST_FAILED,
        LOCAL_FAULT
    }

    /**
     * Connects and runs the startup exchange.
     *
     * @param deadlineNanos when the host counts as failed if the startup is not complete, on System.nanoTime's clock
     */
    OpenResult open(long deadlineNanos) {
        long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
        if (remainingMillis <= 0) {
            return OpenResult.HOST_FAILED;
        }
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address, (int) Math.min(remainingMillis, Integer.MAX_VALUE));
        } catch (ConnectException | NoRouteToHostException | SocketTimeoutException e) {
            return OpenResult.HOST_FAILED;
        } catch (IOException e) {
            // For example no free local port or no buffer space: the host was never contacted.
            return OpenResult.LOCAL_FAULT;
        }
        return startUp(deadlineNanos) ? OpenResult.OPEN : OpenResult.HOST_FAILED;
    }

    private boolean startUp(long deadlineNanos) {
        try {
            in = new MessageReader(socket, memory);
            write(MessageWriter.startup("app", "shop"));
            while (true) {
                if (in.readMessage(deadlineNanos, HostResponseReader.MAX_RESPONSE_NANOS) != ReadStatus.MESSAGE) {
                    return false;
                }
                switch (in.type()) {
                    case 'Z' -> {
                        established = !in.hasUnread();
                        return established;
                    }
                    case 'R' -> {
                        if (in.messageEnd() - in.bodyStart() < 4 || in.int32(in.bodyStart()) != 0) {
                            return false;
                        }
                    }
                    case 'S', 'K', 'N', 'v' -> {}
                    default -> {
                        return false;
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Returns whether the startup exchange is complete. */
    boolean isEstablished() {
        return established;
    }

    /**
     * Returns whether an idle connection can be reused: it is open, and the host has sent nothing after its response.
     */
    boolean isAlive() {
        if (in.hasUnread()) {
            return false;
        }
        if (channel == null) {
            return true;
        }
        try {
            channel.configureBlocking(false);
            int read = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return read == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a query; returns false where not all of it was written. */
    boolean send(MessageWriter query) {
        try {
            write(query);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Reads the complete response; waits for it until this time on System.nanoTime's clock. */
    ExchangeResult receive(long deadlineNanos) {
        ExchangeResult result = new HostResponseReader(in).read(deadlineNanos);
        lastUsedNanos = System.nanoTime();
        return result;
    }

    /** Closes the connection and releases its buffer; called by the reading thread, or when no thread reads. */
    void release() {
        close();
        if (in != null) {
            in.release();
        }
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is unusable either way.
        }
    }

    private void write(MessageWriter messages) throws IOException {
        messages.writeTo(socket.getOutputStream());
    }
}
