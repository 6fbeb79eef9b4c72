package beaconladder.pg;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Builds outgoing messages, one after the other, in a growing buffer. */
public final class MessageWriter {
    /** Bound of one write: the JDK copies it to a buffer outside of the heap, which it keeps up to this size. */
    public static final int MAX_WRITE_BYTES = 16 * 1024;

    private byte[] buffer = new byte[256];
    private int size;

    /** Appends bytes that form complete messages. */
    public MessageWriter append(byte[] bytes, int offset, int length) {
        ensureCapacity(length);
        System.arraycopy(bytes, offset, buffer, size, length);
        size += length;
        return this;
    }

    /** Appends the messages of another writer. */
    public MessageWriter append(MessageWriter other) {
        return append(other.buffer, 0, other.size);
    }

    /** A client's StartupMessage. */
    public static MessageWriter startup(String user, String database) {
        MessageWriter out = new MessageWriter();
        int start = out.begin((char) 0);
        out.int32(3 << 16)
                .text("user")
                .text(user)
                .text("database")
                .text(database)
                .int8(0);
        return out.end(start);
    }

    /** A simple Query. */
    public static MessageWriter query(String statement) {
        MessageWriter out = new MessageWriter();
        int start = out.begin('Q');
        return out.text(statement).end(start);
    }

    /** AuthenticationOk. */
    public MessageWriter authenticationOk() {
        int start = begin('R');
        return int32(0).end(start);
    }

    /** ParameterStatus. */
    public MessageWriter parameterStatus(String name, String value) {
        int start = begin('S');
        return text(name).text(value).end(start);
    }

    /** BackendKeyData. */
    public MessageWriter backendKeyData(int process, int secret) {
        int start = begin('K');
        return int32(process).int32(secret).end(start);
    }

    /** ReadyForQuery, outside a transaction. */
    public MessageWriter readyForQuery() {
        int start = begin('Z');
        return int8('I').end(start);
    }

    /** EmptyQueryResponse. */
    public MessageWriter emptyQuery() {
        int start = begin('I');
        return end(start);
    }

    /** CommandComplete. */
    public MessageWriter commandComplete(String tag) {
        int start = begin('C');
        return text(tag).end(start);
    }

    /** ErrorResponse; the detail may be null. */
    public MessageWriter error(String severity, String code, String message, String detail) {
        int start = begin('E');
        int8('S')
                .text(severity)
                .int8('V')
                .text(severity)
                .int8('C')
                .text(code)
                .int8('M')
                .text(message);
        if (detail != null) {
            int8('D').text(detail);
        }
        return int8(0).end(start);
    }

    /** NegotiateProtocolVersion: the supported version and the options that were not recognized. */
    public MessageWriter negotiateVersion(String... unknown) {
        int start = begin('v');
        int32(3 << 16).int32(unknown.length);
        for (String option : unknown) {
            text(option);
        }
        return end(start);
    }

    /** RowDescription and one DataRow with a single column, in text format. */
    public MessageWriter singleColumnResult(String column, byte[] value) {
        int start = begin('T');
        int8(0).int8(1)
                .text(column)
                .int32(0)
                .int8(0)
                .int8(0)
                .int32(25)
                .int8(255)
                .int8(255)
                .int32(-1)
                .int8(0)
                .int8(0)
                .end(start);
        start = begin('D');
        return int8(0).int8(1)
                .int32(value.length)
                .append(value, 0, value.length)
                .end(start);
    }

    /** Releases the part of the buffer that is not used, for messages that are kept. */
    public void trimToSize() {
        buffer = Arrays.copyOf(buffer, size);
    }

    /** Number of bytes written. */
    public int size() {
        return size;
    }

    /** The bytes written, sharing the buffer: valid until the next message is added. */
    public ByteBuffer asByteBuffer() {
        return ByteBuffer.wrap(buffer, 0, size);
    }

    /** Writes all bytes to the stream. */
    public void writeTo(OutputStream out) throws IOException {
        for (int offset = 0; offset < size; offset += MAX_WRITE_BYTES) {
            out.write(buffer, offset, Math.min(MAX_WRITE_BYTES, size - offset));
        }
    }

    /** The value of the first single-column DataRow in here, or null. */
    public String firstValue() {
        ByteBuffer all = asByteBuffer();
        for (int index = 0; index + 5 <= size; index += 1 + all.getInt(index + 1)) {
            if (buffer[index] == 'D'
                    && all.getInt(index + 1) >= 10
                    && all.getInt(index + 7) >= 0
                    && all.getInt(index + 7) <= all.getInt(index + 1) - 10) {
                return new String(buffer, index + 11, all.getInt(index + 7), StandardCharsets.UTF_8);
            }
        }
        return null;
    }

    private int begin(char type) {
        if (type != 0) {
            int8(type);
        }
        int at = size;
        int32(0);
        return at;
    }

    private MessageWriter end(int start) {
        ByteBuffer.wrap(buffer).putInt(start, size - start);
        return this;
    }

    private MessageWriter int8(int value) {
        ensureCapacity(1);
        buffer[size++] = (byte) value;
        return this;
    }

    private MessageWriter int32(int value) {
        ensureCapacity(4);
        ByteBuffer.wrap(buffer).putInt(size, value);
        size += 4;
        return this;
    }

    private MessageWriter text(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return append(bytes, 0, bytes.length).int8(0);
    }

    private void ensureCapacity(int bytes) {
        if (size + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + bytes));
        }
    }
}
