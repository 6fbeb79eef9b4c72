package beaconladder.pg;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.Arrays;

/**
 * Reads the messages of one connection into one buffer that grows with the bytes received and is compacted in place.
 */
public final class MessageReader extends MessageView {

    /** Outcome of reading a message. */
    public enum ReadStatus {
        MESSAGE,
        CLOSED,
        TRUNCATED,
        TIMED_OUT,
        MALFORMED,
        OUT_OF_MEMORY,
        INCOMPLETE
    }

    /** A value of 64 KiB is twice that in hex; the rest leaves room for the statement round it. */
    public static final int MAX_MESSAGE_BYTES = 256 * 1024;
    /** Holds the statements in use; larger values make it grow for as long as they are there. */
    private static final int INITIAL_BYTES = 2048;

    /** Bound of one read: the JDK copies it from a buffer outside of the heap, which it keeps up to this size. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    /** Names and options alone; PostgreSQL takes as much. */
    private static final int MAX_STARTUP_BYTES = 10_000;

    private final Socket socket;
    private final InputStream in;
    private MemoryLimit memory;
    /** Bytes that the incomplete message needs, as far as that is known. */
    private int needed;
    /** nanoTime at which the first byte of the incomplete message was seen, or 0. */
    private long messageStartNanos;

    private boolean mayHaveMore;

    private int messageStart;
    private int bytesEnd;

    /** A reader for {@link #readFrom} and {@link #nextMessage}, which do not block. */
    public MessageReader(MemoryLimit memory) {
        super(INITIAL_BYTES);
        this.socket = null;
        this.in = null;
        this.memory = memory;
    }

    /** A reader for {@link #readMessage}, which blocks on the socket. */
    public MessageReader(Socket socket, MemoryLimit memory) throws IOException {
        super(INITIAL_BYTES);
        this.socket = socket;
        this.memory = memory;
        this.in = socket.getInputStream();
    }

    /**
     * Waits for the next message.
     *
     * @param deadlineNanos the nanoTime by which it has to be complete, or 0 for no deadline
     * @param timeoutNanos limit from its first byte to its last, or Long.MAX_VALUE for none
     */
    public ReadStatus readMessage(long deadlineNanos, long timeoutNanos) {
        return readMessage(1, deadlineNanos, timeoutNanos, MAX_MESSAGE_BYTES);
    }

    private ReadStatus readMessage(int typeBytes, long deadlineNanos, long timeoutNanos, int maxBytes) {
        messageStartNanos = 0;
        ReadStatus status = parse(typeBytes, maxBytes);
        while (status == ReadStatus.INCOMPLETE) {
            status = fill(needed, deadlineNanos, timeoutNanos);
            status = status == ReadStatus.MESSAGE ? parse(typeBytes, maxBytes) : status;
        }
        return status;
    }

    /**
     * Reads the bytes available in the channel while the buffer may grow; returns their number, or -1 at the end of the
     * stream.
     */
    public int readFrom(ReadableByteChannel channel) throws IOException {
        mayHaveMore = false;
        if (!makeSpace()) {
            return 0;
        }
        int n = channel.read(ByteBuffer.wrap(buffer, bytesEnd, Math.min(MAX_READ_BYTES, buffer.length - bytesEnd)));
        bytesEnd += Math.max(0, n);
        mayHaveMore = n == MAX_READ_BYTES || bytesEnd == buffer.length;
        return n;
    }

    /** Moves to the next message, if it has been received completely; a startup message has no type byte. */
    public ReadStatus nextMessage(boolean isStartup) {
        ReadStatus status = isStartup ? parse(0, MAX_STARTUP_BYTES) : parse(1, MAX_MESSAGE_BYTES);
        messageStartNanos = status != ReadStatus.INCOMPLETE || bytesEnd == messageStart
                ? 0
                : messageStartNanos == 0 ? System.nanoTime() : messageStartNanos;
        return status == ReadStatus.INCOMPLETE && bytesEnd - messageStart == buffer.length && !makeSpace()
                ? ReadStatus.OUT_OF_MEMORY
                : status;
    }

    /** Whether the last read was as long as it could be, so that more may have arrived. */
    public boolean mayHaveMore() {
        return mayHaveMore;
    }

    /** nanoTime at which the first byte of the incomplete message was seen, or 0. */
    public long messageStartNanos() {
        return messageStartNanos;
    }

    /** Moves to the message behind the current one, if it has been received completely. */
    private ReadStatus parse(int typeBytes, int maxBytes) {
        messageStart = messageEnd;
        needed = typeBytes + 4;
        if (bytesEnd - messageStart < needed) {
            return ReadStatus.INCOMPLETE;
        }
        int length = int32(messageStart + typeBytes);
        if (length < 4 || length > maxBytes) {
            return ReadStatus.MALFORMED;
        }
        needed = typeBytes + length;
        if (bytesEnd - messageStart < needed) {
            return ReadStatus.INCOMPLETE;
        }
        type = typeBytes == 0 ? 0 : (char) (buffer[messageStart] & 0xff);
        bodyStart = messageStart + typeBytes + 4;
        messageEnd = messageStart + needed;
        return ReadStatus.MESSAGE;
    }

    /** Compacts the buffer, and grows it if that is not enough; false if it may not grow. */
    private boolean makeSpace() {
        if (messageStart > 0 && (messageStart == bytesEnd || bytesEnd == buffer.length)) {
            System.arraycopy(buffer, messageStart, buffer, 0, bytesEnd - messageStart);
            bytesEnd -= messageStart;
            messageEnd -= messageStart;
            messageStart = 0;
            if (bytesEnd == 0 && buffer.length > INITIAL_BYTES) {
                release();
            }
        }
        if (bytesEnd == buffer.length) {
            int larger = Math.min(2 * buffer.length, MAX_MESSAGE_BYTES + 5);
            if (larger == buffer.length || !memory.tryReserve(larger - buffer.length)) {
                return false;
            }
            buffer = Arrays.copyOf(buffer, larger);
        }
        return true;
    }

    /**
     * Reads until this many bytes of the message have been received; the buffer grows with the bytes received, not with
     * the length announced.
     */
    private ReadStatus fill(int bytes, long deadlineNanos, long timeoutNanos) {
        while (bytesEnd - messageStart < bytes) {
            if (!makeSpace()) {
                return ReadStatus.OUT_OF_MEMORY;
            }
            long now = System.nanoTime();
            long remainingNanos = deadlineNanos == 0 ? Long.MAX_VALUE : deadlineNanos - now;
            if (bytesEnd > messageStart) {
                messageStartNanos = messageStartNanos == 0 ? now : messageStartNanos;
                remainingNanos = Math.min(
                        remainingNanos,
                        timeoutNanos == Long.MAX_VALUE ? remainingNanos : messageStartNanos + timeoutNanos - now);
            } else {
                messageStartNanos = 0;
            }
            try {
                // Bytes already received count as in time: it may be this thread that was late.
                if (remainingNanos <= 0 && in.available() == 0) {
                    return ReadStatus.TIMED_OUT;
                }
                // The kernel may end a wait late by a two-hundredth of its length (15 ms of 3 s were
                // seen), so all but a sixty-fourth is waited for first and then the rest.
                long millis = Math.max(1, (remainingNanos + 999_999) / 1_000_000);
                socket.setSoTimeout(
                        remainingNanos == Long.MAX_VALUE ? 0 : (int) Math.min(Integer.MAX_VALUE, millis - millis / 64));
                int n = in.read(buffer, bytesEnd, Math.min(MAX_READ_BYTES, buffer.length - bytesEnd));
                if (n < 0) {
                    return bytesEnd == messageStart ? ReadStatus.CLOSED : ReadStatus.TRUNCATED;
                }
                bytesEnd += n;
            } catch (SocketTimeoutException e) {
                continue;
            } catch (IOException e) {
                return bytesEnd == messageStart ? ReadStatus.CLOSED : ReadStatus.TRUNCATED;
            }
        }
        return ReadStatus.MESSAGE;
    }

    /**
     * Releases the memory of large messages and discards the bytes received; also to be called when the connection is
     * closed.
     */
    public void release() {
        if (buffer.length > INITIAL_BYTES) {
            memory.release(buffer.length - INITIAL_BYTES);
            buffer = new byte[INITIAL_BYTES];
        }
        messageStart = 0;
        bytesEnd = 0;
        messageEnd = 0;
        messageStartNanos = 0;
    }

    /** Counts large messages against this limit; ignored while a large message is in the buffer. */
    public void chargeTo(MemoryLimit limit) {
        if (buffer.length == INITIAL_BYTES) {
            memory = limit;
        }
    }

    /** Number of bytes received beyond the current message. */
    public int unreadBytes() {
        return bytesEnd - messageEnd;
    }

    /** Whether bytes beyond the current message have been received. */
    public boolean hasUnread() {
        return bytesEnd > messageEnd;
    }

    /** Appends the current message unchanged, type and length included. */
    public void copyTo(MessageWriter out) {
        out.append(buffer, messageStart, messageEnd - messageStart);
    }
}
