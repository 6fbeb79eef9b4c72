package beaconladder.pg;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The messages that come in on one connection: one buffer, growing as bytes come, compacted in place. */
public final class Inbox {

    /** What became of a wait for a message. */
    public enum Got { MESSAGE, CLOSED, CUT, TIMED_OUT, MALFORMED }

    /** A value of 64 KiB is twice that in hex; the rest leaves room for the statement round it. */
    public static final int BOUND = 256 * 1024;
    /** Holds the statements in use; larger values make it grow for as long as they are there. */
    private static final int USUAL = 2048;

    private final Socket socket;
    private final InputStream in;
    private byte[] buffer = new byte[USUAL];
    private int from;
    private int to;
    private char type;
    private int at;
    private int end;

    public Inbox(Socket socket) throws IOException {
        this.socket = socket;
        this.in = socket.getInputStream();
    }

    /** Waits for the next message; until is a nanoTime, or 0 for no end. */
    public Got next(long until) {
        return next(1, until);
    }

    /** The first message of a client, which has no type. */
    public Got opening(long until) {
        return next(0, until);
    }

    private Got next(int head, long until) {
        from = end;
        Got got = fill(head + 4, until);
        if (got != Got.MESSAGE) {
            return got;
        }
        type = head == 0 ? 0 : (char) (buffer[from] & 0xff);
        int length = int32(from + head);
        if (length < 4 || length > BOUND) {
            return Got.MALFORMED;
        }
        got = fill(head + length, until);
        at = from + head + 4;
        end = from + head + length;
        return got;
    }

    /** Reads until this many bytes of the message are there; the buffer grows by what came, not by claims. */
    private Got fill(int bytes, long until) {
        while (to - from < bytes) {
            if (from > 0 && (from == to || from + bytes > buffer.length)) {
                System.arraycopy(buffer, from, buffer, 0, to - from);
                to -= from;
                end -= from;
                from = 0;
                if (to == 0 && buffer.length > USUAL) {
                    buffer = new byte[USUAL];
                }
            }
            if (to == buffer.length) {
                buffer = Arrays.copyOf(buffer, Math.min(2 * buffer.length, BOUND + 5));
            }
            try {
                if (until != 0) {
                    long left = until - System.nanoTime();
                    if (left <= 0) {
                        return Got.TIMED_OUT;
                    }
                    // The kernel may end a wait late by a two-hundredth of its length (15 ms of 3 s were
                    // seen), so all but a sixty-fourth is waited for first and then the rest.
                    long millis = (left + 999_999) / 1_000_000;
                    socket.setSoTimeout((int) Math.min(Integer.MAX_VALUE, millis - millis / 64));
                }
                int n = in.read(buffer, to, buffer.length - to);
                if (n < 0) {
                    return to == from ? Got.CLOSED : Got.CUT;
                }
                to += n;
            } catch (SocketTimeoutException e) {
                continue;
            } catch (IOException e) {
                return Got.CUT;
            }
        }
        return Got.MESSAGE;
    }

    public char type() {
        return type;
    }

    /** Where the body of the current message begins. */
    public int at() {
        return at;
    }

    /** Where the current message ends. */
    public int end() {
        return end;
    }

    public int int32(int place) {
        return (buffer[place] & 0xff) << 24 | (buffer[place + 1] & 0xff) << 16
                | (buffer[place + 2] & 0xff) << 8 | buffer[place + 3] & 0xff;
    }

    public byte int8(int place) {
        return buffer[place];
    }

    /** The text that starts here and ends with a zero byte, or with the message. */
    public String text(int place) {
        int zero = place;
        while (zero < end && buffer[zero] != 0) {
            zero++;
        }
        return new String(buffer, place, zero - place, StandardCharsets.UTF_8);
    }

    /** Where the text that starts here has ended, its zero byte included. */
    public int after(int place) {
        int zero = place;
        while (zero < end && buffer[zero] != 0) {
            zero++;
        }
        return Math.min(end, zero + 1);
    }

    /** The current message as it came, type and length included. */
    public void copyTo(Outbox out) {
        out.raw(buffer, from, end - from);
    }

    /** A field of the current ErrorResponse, or null. */
    public String errorField(char name) {
        for (int i = at; i < end && buffer[i] != 0;) {
            if (buffer[i] == name) {
                return text(i + 1);
            }
            i = after(i);
        }
        return null;
    }
}
