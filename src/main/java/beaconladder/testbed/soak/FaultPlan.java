package beaconladder.testbed.soak;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.channels.FileChannel.MapMode;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The faults that the preloaded shim injects into system calls of one process; changes apply from the next call. */
public final class FaultPlan {
    /** The settings, in the order in which the shim lays them out in the shared file. */
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
        HOLD_UP_MICROS,
        /** How many accepts of the process fail at most, from its start on; 0 for no limit. */
        MAX_FAILED_ACCEPTS
    }

    private final Path file;
    private final ByteBuffer values;

    /** Creates a plan in the given file, with no fault set. */
    public FaultPlan(Path file) throws IOException {
        this.file = file;
        int sizeBytes = Field.values().length * Long.BYTES;
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            channel.write(ByteBuffer.allocate(sizeBytes));
            values = channel.map(MapMode.READ_WRITE, 0, sizeBytes).order(ByteOrder.nativeOrder());
        }
    }

    /** Returns the file that the plan is shared in. */
    public Path file() {
        return file;
    }

    /** Sets one field. */
    public synchronized void set(Field field, long value) {
        values.putLong(field.ordinal() * Long.BYTES, value);
    }

    /** Shifts the wall clock of the process by {@code nanos}, in addition to all earlier steps. */
    public synchronized void stepWallClock(long nanos) {
        int offset = Field.WALL_OFFSET_NANOS.ordinal() * Long.BYTES;
        values.putLong(offset, values.getLong(offset) + nanos);
    }

    /** Ends all system-call faults; the offset of the wall clock stays. */
    public synchronized void clear() {
        for (Field field : Field.values()) {
            if (field != Field.WALL_OFFSET_NANOS) {
                set(field, 0);
            }
        }
    }
}
