package beaconladder.simulation;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Writes one reply: the actions, grouped by instance. */
final class BatchWriter {
    private static final int HEADER = 8;

    private ByteBuffer bytes = ByteBuffer.allocate(1 << 16).position(HEADER);
    private int records;
    private long instance = -1;
    private long written = -1;

    /** The actions that follow are this instance's. */
    void at(long number) {
        instance = number;
    }

    void issue(long call, int host, long withinMicros) {
        record(1000, 16).putLong(call).putInt(host).putInt((int) withinMicros);
    }

    void sayNo(long call, long comeBackMicros) {
        record(1010, 12).putLong(call).putInt((int) comeBackMicros);
    }

    void fail(long call) {
        record(1020, 8).putLong(call);
    }

    void dropAttempt(long call, int copy) {
        record(1030, 9).putLong(call).put((byte) copy);
    }

    void wakeMe(long handle, long offsetMicros) {
        record(1040, 12).putLong(handle).putInt((int) offsetMicros);
    }

    void healthCheck(int host) {
        record(1050, 4).putInt(host);
    }

    void hangUp(int host) {
        record(1060, 4).putInt(host);
    }

    void bailOut(String message) {
        byte[] text = message.getBytes(StandardCharsets.UTF_8);
        int n = Math.min(text.length, 0xffff);
        record(1090, 2 + n).putShort((short) n).put(text, 0, n);
    }

    void tail() {
        record(1100, 1).put((byte) 1);
    }

    void send(OutputStream out) throws IOException {
        bytes.putInt(0, bytes.position() - HEADER).putInt(4, records);
        out.write(bytes.array(), 0, bytes.position());
        out.flush();
        bytes.position(HEADER);
        records = 0;
        written = -1;
    }

    private ByteBuffer record(int code, int length) {
        if (written != instance) {
            written = instance;
            record(1120, 4).putInt((int) instance);
        }
        if (bytes.remaining() < length + 2) {
            int at = bytes.position();
            bytes = ByteBuffer.wrap(Arrays.copyOf(bytes.array(), 2 * bytes.capacity() + length))
                    .position(at);
        }
        records++;
        return bytes.putShort((short) code);
    }
}
