package beaconladder.server;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.Arrays;
import java.util.function.UnaryOperator;

/** A socket in memory whose peer answers each write immediately; for the warm-up and tests. */
final class InMemorySocket extends Socket {
    private final UnaryOperator<byte[]> answer;
    private byte[] bytes;
    private int position;
    private boolean closed;

    /**
     * Creates a connected socket.
     *
     * @param first the bytes that the peer sends first; may be empty
     * @param answer returns the peer's answer to the bytes of one write, or null if the peer closes the connection
     */
    InMemorySocket(byte[] first, UnaryOperator<byte[]> answer) {
        this.bytes = first;
        this.answer = answer;
    }

    private synchronized int readAvailable(byte[] target, int offset, int length) throws IOException {
        try {
            while (position == bytes.length && !closed) {
                wait();
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        }
        int n = Math.min(length, bytes.length - position);
        System.arraycopy(bytes, position, target, offset, n);
        position += n;
        return n == 0 ? -1 : n;
    }

    private synchronized void answerWrite(byte[] written) {
        byte[] next = closed ? null : answer.apply(written);
        closed = next == null;
        bytes = closed ? new byte[0] : next;
        position = 0;
        notifyAll();
    }

    @Override
    public InputStream getInputStream() {
        return new InputStream() {
            @Override
            public int read() throws IOException {
                byte[] one = new byte[1];
                return readAvailable(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
            }

            @Override
            public int read(byte[] target, int offset, int length) throws IOException {
                return readAvailable(target, offset, length);
            }
        };
    }

    @Override
    public OutputStream getOutputStream() {
        return new OutputStream() {
            @Override
            public void write(int b) {
                answerWrite(new byte[] {(byte) b});
            }

            @Override
            public void write(byte[] source, int offset, int length) {
                answerWrite(Arrays.copyOfRange(source, offset, offset + length));
            }
        };
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
        // The peer answers immediately, so no read can time out.
    }

    @Override
    public void shutdownOutput() {
        close();
    }

    @Override
    public synchronized void close() {
        closed = true;
        notifyAll();
    }
}
