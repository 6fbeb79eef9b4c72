package beaconladder.server;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.function.UnaryOperator;

/** A connection in memory: its other end answers each write at once. */
final class InMemorySocket extends Socket {
    private final UnaryOperator<byte[]> answer;
    private byte[] bytes;
    private int at;
    private boolean ended;

    /**
     * Makes a connection.
     *
     * @param first what the other end says first; may be empty
     * @param answer what the other end says to what was written; null when it ends
     */
    InMemorySocket(byte[] first, UnaryOperator<byte[]> answer) {
        this.bytes = first;
        this.answer = answer;
    }

    private synchronized int take(byte[] into, int from, int length) throws IOException {
        try {
            while (at == bytes.length && !ended) {
                wait();
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        }
        int n = Math.min(length, bytes.length - at);
        System.arraycopy(bytes, at, into, from, n);
        at += n;
        return n == 0 ? -1 : n;
    }

    private synchronized void put(byte[] written) {
        byte[] next = ended ? null : answer.apply(written);
        ended = next == null;
        bytes = ended ? new byte[0] : next;
        at = 0;
        notifyAll();
    }

    @Override
    public InputStream getInputStream() {
        return new InputStream() {
            @Override
            public int read() throws IOException {
                byte[] one = new byte[1];
                return take(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
            }

            @Override
            public int read(byte[] into, int from, int length) throws IOException {
                return take(into, from, length);
            }
        };
    }

    @Override
    public OutputStream getOutputStream() {
        return new OutputStream() {
            @Override
            public void write(int b) {
                put(new byte[] {(byte) b});
            }

            @Override
            public void write(byte[] from, int start, int length) {
                put(java.util.Arrays.copyOfRange(from, start, start + length));
            }
        };
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
    public void shutdownOutput() {
        close();
    }

    @Override
    public synchronized void close() {
        ended = true;
        notifyAll();
    }
}
