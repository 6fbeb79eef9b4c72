package beaconladder.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.Test;

class DeadlineInputStreamTest {
    private static final long CALL_NANOS = 10_000_000_000L;
    /** What the JDK's socket stream returns for a read that a signal interrupted. */
    private static final int INTERRUPTED = -3;

    /** Returns the status of an interrupted read for some reads, and then one byte for each. */
    private static final class InterruptedStream extends InputStream {
        private int interruptions;

        InterruptedStream(int interruptions) {
            this.interruptions = interruptions;
        }

        @Override
        public int read() {
            throw new UnsupportedOperationException();
        }

        @Override
        public int read(byte[] buffer, int offset, int length) {
            if (interruptions > 0) {
                interruptions--;
                return INTERRUPTED;
            }
            buffer[offset] = 'x';
            return 1;
        }
    }

    private static DeadlineInputStream stream(int interruptions, long callNanos) {
        DeadlineSocket socket = new DeadlineSocket();
        socket.startCall(System.nanoTime() + callNanos, callNanos);
        return new DeadlineInputStream(new InterruptedStream(interruptions), socket);
    }

    /** Guards against an IndexOutOfBoundsException in the HTTP client, which ended a watch of discovery. */
    @Test
    void aReadThatASignalInterruptsIsRepeated() throws IOException {
        assertThat(stream(2, CALL_NANOS).read(new byte[8], 0, 8)).isEqualTo(1);
    }

    /** Guards against taking an interrupted read for the end of the stream. */
    @Test
    void aReadOfOneByteThatASignalInterruptsIsRepeated() throws IOException {
        assertThat(stream(2, CALL_NANOS).read()).isEqualTo('x');
    }

    /** Guards against repeating interrupted reads beyond the deadline of the call. */
    @Test
    void interruptedReadsEndAtTheDeadline() throws IOException {
        try (DeadlineInputStream endless = stream(Integer.MAX_VALUE, 50_000_000)) {
            assertThatThrownBy(() -> endless.read(new byte[8], 0, 8)).isInstanceOf(SocketTimeoutException.class);
        }
    }
}
