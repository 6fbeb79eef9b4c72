package beaconladder.testbed.soak;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.channels.FileChannel.MapMode;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** What the preloaded shim does to the system calls of one process; it takes effect with the next call. */
public final class FaultPlan {
    /** What can be set, in the order of the shim. */
    public enum Field {
        WALL_OFFSET_NANOS,
        ACCEPT_ERRNO,
        ACCEPT_PER_MILLE,
        CONNECT_ERRNO,
        CONNECT_PER_MILLE,
        SOCKET_ERRNO,
        SOCKET_PER_MILLE,
        THREAD_PER_MILLE,
        SHORT_PER_MILLE,
        INTERRUPT_PER_MILLE,
        FILE_ERRNO,
        FILE_SHORT,
        HOLD_UP_PER_MILLE,
        HOLD_UP_MICROS
    }

    private final Path file;
    private final ByteBuffer values;

    /** A plan in this file, without any fault. */
    public FaultPlan(Path file) throws IOException {
        this.file = file;
        int size = Field.values().length * Long.BYTES;
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            channel.write(ByteBuffer.allocate(size));
            values = channel.map(MapMode.READ_WRITE, 0, size).order(ByteOrder.nativeOrder());
        }
    }

    public Path file() {
        return file;
    }

    public synchronized void set(Field field, long value) {
        values.putLong(field.ordinal() * Long.BYTES, value);
    }

    /** Moves the wall clock by so much, from where it stands now. */
    public synchronized void stepWallClock(long nanos) {
        int at = Field.WALL_OFFSET_NANOS.ordinal() * Long.BYTES;
        values.putLong(at, values.getLong(at) + nanos);
    }

    /** No system call fails any more; the wall clock stays where it is. */
    public synchronized void clear() {
        for (Field field : Field.values()) {
            if (field != Field.WALL_OFFSET_NANOS) {
                set(field, 0);
            }
        }
    }
}
