package beaconladder.simulation;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Reads batches, big-endian, and the fields of the records in them. */
final class BatchReader {
    private static final int HEADER = 16;

    private final InputStream in;
    private final byte[] header = new byte[HEADER];
    private byte[] body = new byte[1 << 16];
    private ByteBuffer fields = ByteBuffer.wrap(body, 0, 0);
    /** Bytes of the input before the current body. */
    private long before;

    private long records;
    private long clock;

    BatchReader(InputStream in) {
        this.in = in;
    }

    /** Reads the next batch; false at the clean end of the input. */
    boolean next() throws IOException, WireException {
        before += fields.limit();
        int got = in.readNBytes(header, 0, HEADER);
        if (got == 0) {
            return false;
        }
        if (got < HEADER) {
            throw new WireException(before + got, "the input ends inside a batch header");
        }
        ByteBuffer head = ByteBuffer.wrap(header);
        records = head.getInt() & 0xffffffffL;
        long length = head.getInt() & 0xffffffffL;
        clock = head.getLong();
        if (length > Integer.MAX_VALUE - 16 || records * 2 > length) {
            throw new WireException(before, "a header of " + records + " records in " + length + " bytes");
        }
        before += HEADER;
        if (body.length < length) {
            body = new byte[(int) Math.min(Integer.MAX_VALUE - 16, length * 5 / 4)];
        }
        got = in.readNBytes(body, 0, (int) length);
        if (got < length) {
            throw new WireException(before + got, "the input ends inside a batch of " + length + " bytes");
        }
        fields = ByteBuffer.wrap(body, 0, (int) length);
        return true;
    }

    long records() {
        return records;
    }

    /** The clock of this batch, in microseconds. */
    long clock() {
        return clock;
    }

    long position() {
        return before + fields.position();
    }

    int left() {
        return fields.remaining();
    }

    int u8() throws WireException {
        need(1);
        return fields.get() & 0xff;
    }

    int u16() throws WireException {
        need(2);
        return fields.getShort() & 0xffff;
    }

    long u32() throws WireException {
        need(4);
        return fields.getInt() & 0xffffffffL;
    }

    long u64() throws WireException {
        need(8);
        return fields.getLong();
    }

    float f32() throws WireException {
        need(4);
        return fields.getFloat();
    }

    /** The next n things of this many bytes each must be there. */
    int count(long n, int each) throws WireException {
        if (n * each > fields.remaining()) {
            throw new WireException(position(), "a count of " + n + " that runs past the batch");
        }
        return (int) n;
    }

    String text(long n) throws WireException {
        int length = count(n, 1);
        String s = new String(body, fields.position(), length, StandardCharsets.UTF_8);
        fields.position(fields.position() + length);
        return s;
    }

    private void need(int bytes) throws WireException {
        if (fields.remaining() < bytes) {
            throw new WireException(position(), "a record that runs past the batch");
        }
    }
}
