package beaconladder.server;

import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

/** A socket to a host that completes the startup and accepts a query; reading the response then throws an exception. */
final class FaultySocket extends Socket {
    private final Throwable fault;
    private final AtomicInteger writtenQueries;
    private final byte[] startupResponse;
    private int position;
    private volatile boolean querySent;

    /**
     * A socket that is connected.
     *
     * @param fault the unchecked exception or error to throw
     * @param writtenQueries counts the queries that are written to the socket
     */
    FaultySocket(Throwable fault, AtomicInteger writtenQueries) {
        this.fault = fault;
        this.writtenQueries = writtenQueries;
        MessageWriter out = new MessageWriter().authenticationOk().readyForQuery();
        startupResponse = new byte[out.size()];
        out.asByteBuffer().get(startupResponse);
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
                int count = Math.min(length, startupResponse.length - position);
                System.arraycopy(startupResponse, position, target, offset, count);
                position += count;
                return count;
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
                    writtenQueries.incrementAndGet();
                }
            }
        };
    }
}
