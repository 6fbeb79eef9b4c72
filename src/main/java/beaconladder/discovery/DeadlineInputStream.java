package beaconladder.discovery;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * The bytes that a {@link DeadlineSocket} receives. A read that a signal interrupted is repeated: the JDK's socket
 * stream returns a status below -1 for it, which callers would take for a number of bytes.
 */
final class DeadlineInputStream extends FilterInputStream {
    private static final int END_OF_STREAM = -1;

    private final DeadlineSocket socket;

    DeadlineInputStream(InputStream in, DeadlineSocket socket) {
        super(in);
        this.socket = socket;
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        // The stream's own method for a single byte returns -1 for an interrupted read, too.
        return read(single, 0, 1) < 0 ? END_OF_STREAM : single[0] & 0xff;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        int count;
        do {
            socket.setRemainingTimeout();
            count = in.read(buffer, offset, length);
        } while (count < END_OF_STREAM);
        socket.onBytesRead();
        return count;
    }
}
