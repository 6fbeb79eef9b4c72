package beaconladder.pg;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.Arrays;

/** The messages that come in on one connection: one buffer, growing as bytes come, compacted in place. */
public final class MessageReader extends MessageView {

    /** What became of a wait for a message. */
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
    private static final int USUAL = 2048;

    /** Names and options alone; PostgreSQL takes as much. */
    private static final int LONGEST_OPENING = 10_000;

    private final Socket socket;
    private final InputStream in;
    private MemoryLimit room;
    /** Whether there was no space for what the channel may have. */
    private boolean refused;
    /** How many bytes the message that is coming in needs, as far as that is known. */
    private int needed;
    /** When the message that is coming in began, or 0. */
    private long begunAt;

    private int from;
    private int to;

    /** One that is fed; it waits for nothing. */
    public MessageReader(MemoryLimit room) {
        super(USUAL);
        this.socket = null;
        this.in = null;
        this.room = room;
    }

    /** One that reads from a socket and waits. */
    public MessageReader(Socket socket, MemoryLimit room) throws IOException {
        super(USUAL);
        this.socket = socket;
        this.room = room;
        this.in = socket.getInputStream();
    }

    /**
     * Waits for the next message.
     *
     * @param until a nanoTime by which it has to be there, or 0 for no end
     * @param whole once it has begun, all of it has to be there within so many nanoseconds
     */
    public ReadStatus readMessage(long until, long whole) {
        return readMessage(1, until, whole, MAX_MESSAGE_BYTES);
    }

    private ReadStatus readMessage(int head, long until, long whole, int most) {
        begunAt = 0;
        ReadStatus got = parse(head, most);
        while (got == ReadStatus.INCOMPLETE) {
            got = fill(needed, until, whole);
            got = got == ReadStatus.MESSAGE ? parse(head, most) : got;
        }
        return got;
    }

    /** Takes in what the channel has, as long as there is room; how much, or -1 at the end. */
    public int readFrom(ReadableByteChannel channel) throws IOException {
        refused = !makeSpace();
        if (refused) {
            return 0;
        }
        int n = channel.read(ByteBuffer.wrap(buffer, to, buffer.length - to));
        to += Math.max(0, n);
        return n;
    }

    /** The next message of those fed, if all of it is there. */
    public ReadStatus nextMessage(boolean opening) {
        ReadStatus got = opening ? parse(0, LONGEST_OPENING) : parse(1, MAX_MESSAGE_BYTES);
        begunAt = got != ReadStatus.INCOMPLETE || to == from ? 0 : begunAt == 0 ? System.nanoTime() : begunAt;
        return got == ReadStatus.INCOMPLETE && to - from == buffer.length && !makeSpace() ? ReadStatus.OUT_OF_MEMORY : got;
    }

    /** What comes is taken in, but looked at later: a message that has begun is not waited for meanwhile. */
    public void pauseMessageTimer() {
        begunAt = 0;
    }

    /** Whether so much has come in that nobody has looked at, or there was no space for more. */
    public boolean hasUnreadAtLeast(int bytes) {
        return refused || to - end >= bytes;
    }

    /** When the message began that has not come in whole, or 0. */
    public long messageStartNanos() {
        return begunAt;
    }

    /** What has come in is of no interest. */
    public void discard() {
        from = to;
        end = to;
        begunAt = 0;
    }

    /** The message that starts where the current one ends, if all of it is there. */
    private ReadStatus parse(int head, int most) {
        from = end;
        needed = head + 4;
        if (to - from < needed) {
            return ReadStatus.INCOMPLETE;
        }
        int length = int32(from + head);
        if (length < 4 || length > most) {
            return ReadStatus.MALFORMED;
        }
        needed = head + length;
        if (to - from < needed) {
            return ReadStatus.INCOMPLETE;
        }
        type = head == 0 ? 0 : (char) (buffer[from] & 0xff);
        at = from + head + 4;
        end = from + needed;
        return ReadStatus.MESSAGE;
    }

    /** Moves what is left to the front, and grows where that is not enough; false without room to. */
    private boolean makeSpace() {
        if (from > 0 && (from == to || to == buffer.length)) {
            System.arraycopy(buffer, from, buffer, 0, to - from);
            to -= from;
            end -= from;
            from = 0;
            if (to == 0 && buffer.length > USUAL) {
                release();
            }
        }
        if (to == buffer.length) {
            int larger = Math.min(2 * buffer.length, MAX_MESSAGE_BYTES + 5);
            if (larger == buffer.length || !room.tryReserve(larger - buffer.length)) {
                return false;
            }
            buffer = Arrays.copyOf(buffer, larger);
        }
        return true;
    }

    /** Reads until this many bytes of the message are there; the buffer grows by what came, not by claims. */
    private ReadStatus fill(int bytes, long until, long whole) {
        while (to - from < bytes) {
            if (!makeSpace()) {
                return ReadStatus.OUT_OF_MEMORY;
            }
            long now = System.nanoTime();
            long left = until == 0 ? Long.MAX_VALUE : until - now;
            if (to > from) {
                begunAt = begunAt == 0 ? now : begunAt;
                left = Math.min(left, whole == Long.MAX_VALUE ? left : begunAt + whole - now);
            } else {
                begunAt = 0;
            }
            try {
                // What is there already counts as in time: it may be this thread that comes late.
                if (left <= 0 && in.available() == 0) {
                    return ReadStatus.TIMED_OUT;
                }
                // The kernel may end a wait late by a two-hundredth of its length (15 ms of 3 s were
                // seen), so all but a sixty-fourth is waited for first and then the rest.
                long millis = Math.max(1, (left + 999_999) / 1_000_000);
                socket.setSoTimeout(
                        left == Long.MAX_VALUE ? 0 : (int) Math.min(Integer.MAX_VALUE, millis - millis / 64));
                int n = in.read(buffer, to, buffer.length - to);
                if (n < 0) {
                    return to == from ? ReadStatus.CLOSED : ReadStatus.TRUNCATED;
                }
                to += n;
            } catch (SocketTimeoutException e) {
                continue;
            } catch (IOException e) {
                return to == from ? ReadStatus.CLOSED : ReadStatus.TRUNCATED;
            }
        }
        return ReadStatus.MESSAGE;
    }

    /** Gives back the memory of large messages; to be called at the end, too. */
    public void release() {
        room.release(buffer.length - USUAL);
        buffer = new byte[USUAL];
        from = 0;
        to = 0;
        end = 0;
    }

    /** Large messages count here from now on; for one that is on its way, from the next one on. */
    public void chargeTo(MemoryLimit to) {
        if (buffer.length == USUAL) {
            room = to;
        }
    }

    /** How many bytes have come in beyond the current message. */
    public int unreadBytes() {
        return to - end;
    }

    /** Whether bytes beyond the current message have come in. */
    public boolean hasUnread() {
        return to > end;
    }

    /** The current message as it came, type and length included. */
    public void copyTo(MessageWriter out) {
        out.append(buffer, from, end - from);
    }
}
