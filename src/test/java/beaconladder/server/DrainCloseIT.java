package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.TestClient;
import java.net.SocketException;
import org.junit.jupiter.api.Test;

/** A query that crosses the close of the last connection during a drain. */
class DrainCloseIT extends RouterProcessFixture {
    /**
     * Less than the time until the process exits: the router waits 100 ms after the last answer, and the JVM up to 300
     * ms for threads in system calls.
     */
    private static final int MAX_RESET_MILLIS = 80;

    /**
     * Guards against a late reset: in a scenario of restarts, pipelined queries were neither answered nor, within 450
     * ms, reset as unread.
     */
    @Test
    void aQueryThatCrossesTheCloseIsResetAtOnce() throws Exception {
        start();
        TestClient client = connect();
        primary.delayMillis = 1_200;
        replica.delayMillis = 1_200;
        MessageWriter.query(read("slow", 2_000)).writeTo(client.out);
        Thread.sleep(100);
        router.sendSignal("TERM");
        assertThat(client.answer()).startsWith("T D:");
        assertThat(client.answer()).isEqualTo("closed");
        MessageWriter.query(read("crosses", 2_000)).writeTo(client.out);
        Thread.sleep(MAX_RESET_MILLIS);
        boolean reset = false;
        try {
            MessageWriter.query(read("later", 2_000)).writeTo(client.out);
        } catch (SocketException e) {
            reset = true;
        }
        assertThat(reset).as("reset within " + MAX_RESET_MILLIS + " ms").isTrue();
    }
}
