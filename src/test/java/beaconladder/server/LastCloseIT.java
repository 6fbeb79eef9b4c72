package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.TestClient;
import java.net.SocketException;
import org.junit.jupiter.api.Test;

/** The close of the last connection of a drain, crossed by a query. */
class LastCloseIT extends ServedProgram {
    /**
     * The program rests for 100 ms after the last answer, and the JVM waits up to 300 ms for threads in system calls.
     */
    private static final int SOON_MILLIS = 80;

    /**
     * Seen in a rehearsal of restarts: queries written ahead were neither answered nor, within 450 ms, told by a reset
     * that they were unread.
     */
    @Test
    void aQueryThatCrossesItIsToldByAResetAtOnce() throws Exception {
        start();
        TestClient c = caller();
        a.delayMillis = 1_200;
        b.delayMillis = 1_200;
        MessageWriter.query(read("slow", 2_000)).writeTo(c.out);
        Thread.sleep(100);
        router.signal("TERM");
        assertThat(c.answer()).startsWith("T D:");
        assertThat(c.answer()).isEqualTo("closed");
        MessageWriter.query(read("crosses", 2_000)).writeTo(c.out);
        Thread.sleep(SOON_MILLIS);
        boolean reset = false;
        try {
            MessageWriter.query(read("later", 2_000)).writeTo(c.out);
        } catch (SocketException e) {
            reset = true;
        }
        assertThat(reset).as("told by a reset within " + SOON_MILLIS + " ms").isTrue();
    }
}
