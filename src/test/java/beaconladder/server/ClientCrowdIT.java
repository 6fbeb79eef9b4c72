package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Hundreds of clients at once that read no answers: the router stays within its memory, and serves others. */
@Timeout(120)
class ClientCrowdIT extends RouterProcessFixture {
    private static final int VALUE_BYTES = 30_000;
    private static final int READS_PER_CLIENT = 60;
    private static final int WRITE_VALUE_HEX = 100_000;
    private static final int WATCH_MILLIS = 6_000;
    private static final int BUDGET_MILLIS = 800;
    /** How long after its deadline the answer to a request counts as lost. */
    private static final int LOST_MILLIS = 500;

    /** Guards against answers that nobody reads filling the memory beyond the limit. */
    @Test
    void answersThatAreNotReadStayWithinTheMemoryLimit() throws Exception {
        memoryMb = 144;
        maxDescriptors = 2048;
        start();
        replica.value = new byte[VALUE_BYTES];
        primary.value = new byte[VALUE_BYTES];
        for (int i = 0; i < 300; i++) {
            MessageWriter reads = MessageWriter.startup("app", "shop");
            for (int n = 0; n < READS_PER_CLIENT; n++) {
                reads.append(MessageWriter.query(read("a" + i + "n" + n, 1_900)));
            }
            send(reads);
        }
        assertOthersAreServedWithin(memoryMb);
    }

    /** Guards against the texts of large writes, all complete, filling the memory beyond the limit. */
    @Test
    void largeWritesOfManyClientsStayWithinTheMemoryLimit() throws Exception {
        memoryMb = 144;
        maxDescriptors = 2048;
        start();
        primary.delayMillis = 300;
        String value = "ab".repeat(WRITE_VALUE_HEX / 2);
        for (int i = 0; i < 300; i++) {
            send(MessageWriter.startup("app", "shop")
                    .append(MessageWriter.query("INSERT INTO items (id, doc) VALUES ('k" + i + "', '\\x" + value
                            + "') RETURNING doc /* id=w" + i + ",c=write,t=acme,d=1900,cluster=1 */")));
        }
        assertOthersAreServedWithin(memoryMb);
    }

    private void send(MessageWriter messages) throws IOException {
        Socket socket = closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), router.port));
        Thread writer = new Thread(() -> {
            try {
                messages.writeTo(socket.getOutputStream());
            } catch (IOException e) {
                // The router may turn the client away.
            }
        });
        writer.setDaemon(true);
        writer.start();
    }

    private void assertOthersAreServedWithin(int limitMb) throws Exception {
        TestClient other = connect();
        int served = 0;
        int asked = 0;
        long endNanos = System.nanoTime() + WATCH_MILLIS * 1_000_000L;
        while (System.nanoTime() < endNanos) {
            long startNanos = System.nanoTime();
            String answer = query(other, read("o" + asked++, BUDGET_MILLIS));
            assertThat((System.nanoTime() - startNanos) / 1_000_000)
                    .as(answer)
                    .isLessThanOrEqualTo(BUDGET_MILLIS + LOST_MILLIS);
            assertThat(answer).doesNotContain("closed").doesNotContain("Exception");
            served += answer.startsWith("T D:") ? 1 : 0;
            TimeUnit.MILLISECONDS.sleep(30);
        }
        assertThat(router.process.isAlive()).as(router.log()).isTrue();
        assertThat(peakMemoryMb()).isLessThan(limitMb);
        assertThat(router.log()).doesNotContain("OutOfMemoryError");
        assertThat(served).isGreaterThan(asked / 2);
    }

    private long peakMemoryMb() throws IOException {
        return Files.readAllLines(Path.of("/proc", String.valueOf(router.process.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) / 1_024)
                .findFirst()
                .orElseThrow();
    }
}
