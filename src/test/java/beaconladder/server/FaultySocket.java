package beaconladder.server;

import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

/** A host that completes the startup and reads a query, and reading whose answer throws this fault. */
final class FaultySocket extends Socket {
    private final Throwable fault;
    private final AtomicInteger queries;
    private final byte[] greeting;
    private int position;
    private volatile boolean querySent;

    /** Counts the queries that are written to it. */
    FaultySocket(Throwable fault, AtomicInteger queries) {
        this.fault = fault;
        this.queries = queries;
        MessageWriter out = new MessageWriter().authenticationOk().readyForQuery();
        greeting = new byte[out.size()];
        out.asByteBuffer().get(greeting);
    }

    @Override
    public void connect(SocketAddress address, int millis) {
        // Always connected.
    }

    @Override
    public void setTcpNoDelay(boolean on) {
        // Writes are never delayed.
    }

    @Override
    public void setSoTimeout(int millis) {
        // The peer answers at once.
    }

    @Override
    public InputStream getInputStream() {
        return new InputStream() {
            @Override
            public int read() {
                throw new UnsupportedOperationException();
            }

            @Override
            public int read(byte[] target, int offset, int length) throws IOException {
                if (querySent) {
                    if (fault instanceof Error error) {
                        throw error;
                    }
                    throw (RuntimeException) fault;
                }
                int n = Math.min(length, greeting.length - position);
                System.arraycopy(greeting, position, target, offset, n);
                position += n;
                return n;
            }
        };
    }

    @Override
    public OutputStream getOutputStream() {
        return new OutputStream() {
            @Override
            public void write(int b) {
                throw new UnsupportedOperationException();
            }

            @Override
            public void write(byte[] source, int offset, int length) {
                if (source[offset] == 'Q') {
                    querySent = true;
                    queries.incrementAndGet();
                }
            }
        };
    }
}
