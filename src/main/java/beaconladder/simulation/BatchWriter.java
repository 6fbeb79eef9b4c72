package beaconladder.simulation;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Writes the reply to a batch: the actions, grouped by instance. */
final class BatchWriter {
    private static final int HEADER_BYTES = 8;

    private ByteBuffer bytes = ByteBuffer.allocate(1 << 16).position(HEADER_BYTES);
    private int records;
    private long instance = -1;
    /** The instance that the newest record belongs to. */
    private long writtenInstance = -1;

    /** The following actions are of this instance. */
    void forInstance(long number) {
        instance = number;
    }

    void sendAttempt(long requestId, int host, long timeoutMicros) {
        record(RecordCode.SEND_ATTEMPT, 16).putLong(requestId).putInt(host).putInt((int) timeoutMicros);
    }

    void reject(long requestId, long retryAfterMicros) {
        record(RecordCode.REJECT, 12).putLong(requestId).putInt((int) retryAfterMicros);
    }

    void rollBack(long requestId) {
        record(RecordCode.ROLL_BACK, 8).putLong(requestId);
    }

    void cancelAttempt(long requestId, int attemptIndex) {
        record(RecordCode.CANCEL_ATTEMPT, 9).putLong(requestId).put((byte) attemptIndex);
    }

    void setTimer(long handle, long offsetMicros) {
        record(RecordCode.SET_TIMER, 12).putLong(handle).putInt((int) offsetMicros);
    }

    void healthCheck(int host) {
        record(RecordCode.HEALTH_CHECK, 4).putInt(host);
    }

    void closeIdleConnections(int host) {
        record(RecordCode.CLOSE_IDLE_CONNECTIONS, 4).putInt(host);
    }

    /** The instance has failed; the message ends the simulation. */
    void fail(String message) {
        byte[] text = message.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(text.length, 0xffff);
        record(RecordCode.FAIL, 2 + length).putShort((short) length).put(text, 0, length);
    }

    /** Asks the simulator for the next endpoint list. */
    void pollEndpoints() {
        record(RecordCode.POLL_ENDPOINTS, 1).put((byte) 1);
    }

    void send(OutputStream out) throws IOException {
        bytes.putInt(0, bytes.position() - HEADER_BYTES).putInt(4, records);
        out.write(bytes.array(), 0, bytes.position());
        out.flush();
        bytes.position(HEADER_BYTES);
        records = 0;
        writtenInstance = -1;
    }

    /** Begins a record of this many bytes after its code. */
    private ByteBuffer record(int code, int length) {
        if (writtenInstance != instance) {
            writtenInstance = instance;
            record(RecordCode.ACTIONS_OF_INSTANCE, 4).putInt((int) instance);
        }
        if (bytes.remaining() < length + 2) {
            int position = bytes.position();
            bytes = ByteBuffer.wrap(Arrays.copyOf(bytes.array(), 2 * bytes.capacity() + length))
                    .position(position);
        }
        records++;
        return bytes.putShort((short) code);
    }
}
