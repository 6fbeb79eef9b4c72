package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.TestClient;
import java.net.SocketException;
import org.junit.jupiter.api.Test;

/** A query that crosses the close of the last connection of a drain. */
class DrainCloseIT extends RouterProcessFixture {
    /** The router waits for 100 ms after the last answer, and the JVM up to 300 ms for threads in system calls. */
    private static final int SOON_MILLIS = 80;

    /**
     * Seen in a scenario of restarts: pipelined queries were neither answered nor, within 450 ms, reported as unread by
     * a reset.
     */
    @Test
    void aQueryThatCrossesTheCloseIsResetAtOnce() throws Exception {
        start();
        TestClient c = connect();
        primary.delayMillis = 1_200;
        replica.delayMillis = 1_200;
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
        assertThat(reset).as("reset within " + SOON_MILLIS + " ms").isTrue();
    }
}
