package beaconladder.simulation;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Reads batches, big-endian, and the fields of the records in them. */
final class BatchReader {
    private static final int HEADER_BYTES = 16;

    private final InputStream in;
    private final byte[] header = new byte[HEADER_BYTES];
    private byte[] body = new byte[1 << 16];
    private ByteBuffer fields = ByteBuffer.wrap(body, 0, 0);
    /** Bytes of the input before the current body. */
    private long bytesBeforeBody;

    private long recordCount;
    private long clockMicros;

    BatchReader(InputStream in) {
        this.in = in;
    }

    /** Reads the next batch; false at the clean end of the input. */
    boolean next() throws IOException, WireException {
        bytesBeforeBody += fields.limit();
        int count = in.readNBytes(header, 0, HEADER_BYTES);
        if (count == 0) {
            return false;
        }
        if (count < HEADER_BYTES) {
            throw new WireException(bytesBeforeBody + count, "the input ends inside a batch header");
        }
        ByteBuffer head = ByteBuffer.wrap(header);
        recordCount = head.getInt() & 0xffffffffL;
        long length = head.getInt() & 0xffffffffL;
        clockMicros = head.getLong();
        if (length > Integer.MAX_VALUE - 16 || recordCount * 2 > length) {
            throw new WireException(bytesBeforeBody, "a header of " + recordCount + " records in " + length + " bytes");
        }
        bytesBeforeBody += HEADER_BYTES;
        if (body.length < length) {
            body = new byte[(int) Math.min(Integer.MAX_VALUE - 16, length * 5 / 4)];
        }
        count = in.readNBytes(body, 0, (int) length);
        if (count < length) {
            throw new WireException(bytesBeforeBody + count, "the input ends inside a batch of " + length + " bytes");
        }
        fields = ByteBuffer.wrap(body, 0, (int) length);
        return true;
    }

    long recordCount() {
        return recordCount;
    }

    /** The clock of this batch, in microseconds. */
    long clockMicros() {
        return clockMicros;
    }

    /** The position in the whole input, in bytes. */
    long position() {
        return bytesBeforeBody + fields.position();
    }

    /** Bytes of the batch that are not read yet. */
    int remaining() {
        return fields.remaining();
    }

    int u8() throws WireException {
        require(1);
        return fields.get() & 0xff;
    }

    int u16() throws WireException {
        require(2);
        return fields.getShort() & 0xffff;
    }

    long u32() throws WireException {
        require(4);
        return fields.getInt() & 0xffffffffL;
    }

    long u64() throws WireException {
        require(8);
        return fields.getLong();
    }

    float f32() throws WireException {
        require(4);
        return fields.getFloat();
    }

    /** Checks that the batch has n more items of this many bytes each. */
    int requireCount(long n, int itemBytes) throws WireException {
        if (n * itemBytes > fields.remaining()) {
            throw new WireException(position(), "a count of " + n + " that runs past the batch");
        }
        return (int) n;
    }

    String text(long n) throws WireException {
        int length = requireCount(n, 1);
        String text = new String(body, fields.position(), length, StandardCharsets.UTF_8);
        fields.position(fields.position() + length);
        return text;
    }

    private void require(int bytes) throws WireException {
        if (fields.remaining() < bytes) {
            throw new WireException(position(), "a record that runs past the batch");
        }
    }
}
