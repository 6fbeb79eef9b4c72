package beaconladder.server;

import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

/** A host that greets, takes a query, and whose answer can't be read for a fault of this kind. */
final class FaultySocket extends Socket {
    private final Throwable fault;
    private final AtomicInteger queries;
    private final byte[] greeting;
    private int at;
    private volatile boolean asked;

    /** One that counts the queries written to it here. */
    FaultySocket(Throwable fault, AtomicInteger queries) {
        this.fault = fault;
        this.queries = queries;
        MessageWriter out = new MessageWriter().authenticationOk().readyForQuery();
        greeting = new byte[out.size()];
        out.asByteBuffer().get(greeting);
    }

    @Override
    public void connect(SocketAddress address, int millis) {
        // It is there.
    }

    @Override
    public void setTcpNoDelay(boolean on) {
        // Nothing delays it.
    }

    @Override
    public void setSoTimeout(int millis) {
        // It answers at once.
    }

    @Override
    public InputStream getInputStream() {
        return new InputStream() {
            @Override
            public int read() {
                throw new UnsupportedOperationException();
            }

            @Override
            public int read(byte[] into, int from, int most) throws IOException {
                if (asked) {
                    if (fault instanceof Error error) {
                        throw error;
                    }
                    throw (RuntimeException) fault;
                }
                int n = Math.min(most, greeting.length - at);
                System.arraycopy(greeting, at, into, from, n);
                at += n;
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
            public void write(byte[] from, int start, int length) {
                if (from[start] == 'Q') {
                    asked = true;
                    queries.incrementAndGet();
                }
            }
        };
    }
}
