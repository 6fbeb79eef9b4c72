package beaconladder.pg;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Messages on their way out, built one behind the other. */
public final class MessageWriter {
    private byte[] buffer = new byte[256];
    private int size;

    public MessageWriter append(byte[] bytes, int at, int length) {
        room(length);
        System.arraycopy(bytes, at, buffer, size, length);
        size += length;
        return this;
    }

    public MessageWriter append(MessageWriter other) {
        return append(other.buffer, 0, other.size);
    }

    /** What a client says first. */
    public static MessageWriter startup(String user, String database) {
        MessageWriter out = new MessageWriter();
        int at = out.begin((char) 0);
        out.int32(3 << 16)
                .text("user")
                .text(user)
                .text("database")
                .text(database)
                .int8(0);
        return out.end(at);
    }

    public static MessageWriter query(String statement) {
        MessageWriter out = new MessageWriter();
        int at = out.begin('Q');
        return out.text(statement).end(at);
    }

    public MessageWriter authenticationOk() {
        int at = begin('R');
        return int32(0).end(at);
    }

    public MessageWriter parameterStatus(String name, String value) {
        int at = begin('S');
        return text(name).text(value).end(at);
    }

    public MessageWriter backendKeyData(int process, int secret) {
        int at = begin('K');
        return int32(process).int32(secret).end(at);
    }

    public MessageWriter readyForQuery() {
        int at = begin('Z');
        return int8('I').end(at);
    }

    public MessageWriter emptyQuery() {
        int at = begin('I');
        return end(at);
    }

    public MessageWriter commandComplete(String tag) {
        int at = begin('C');
        return text(tag).end(at);
    }

    /** An error; the detail may be null. */
    public MessageWriter error(String severity, String code, String message, String detail) {
        int at = begin('E');
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
        return int8(0).end(at);
    }

    /** The version that is spoken here, and the options that are not known. */
    public MessageWriter negotiateVersion(String... unknown) {
        int at = begin('v');
        int32(3 << 16).int32(unknown.length);
        for (String option : unknown) {
            text(option);
        }
        return end(at);
    }

    /** A row description and a row of one column, in text. */
    public MessageWriter singleColumnResult(String column, byte[] value) {
        int at = begin('T');
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
                .end(at);
        at = begin('D');
        return int8(0).int8(1).int32(value.length).append(value, 0, value.length).end(at);
    }

    public int size() {
        return size;
    }

    public ByteBuffer asByteBuffer() {
        return ByteBuffer.wrap(buffer, 0, size);
    }

    public void writeTo(OutputStream out) throws IOException {
        out.write(buffer, 0, size);
    }

    /** The cell of the row of one column in here, or null. */
    public String firstValue() {
        ByteBuffer all = asByteBuffer();
        for (int at = 0; at + 5 <= size; at += 1 + all.getInt(at + 1)) {
            if (buffer[at] == 'D'
                    && all.getInt(at + 1) >= 10
                    && all.getInt(at + 7) >= 0
                    && all.getInt(at + 7) <= all.getInt(at + 1) - 10) {
                return new String(buffer, at + 11, all.getInt(at + 7), StandardCharsets.UTF_8);
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

    private MessageWriter end(int at) {
        ByteBuffer.wrap(buffer).putInt(at, size - at);
        return this;
    }

    private MessageWriter int8(int value) {
        room(1);
        buffer[size++] = (byte) value;
        return this;
    }

    private MessageWriter int32(int value) {
        room(4);
        ByteBuffer.wrap(buffer).putInt(size, value);
        size += 4;
        return this;
    }

    private MessageWriter text(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return append(bytes, 0, bytes.length).int8(0);
    }

    private void room(int bytes) {
        if (size + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + bytes));
        }
    }
}
