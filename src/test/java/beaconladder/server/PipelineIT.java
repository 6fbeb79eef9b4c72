package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.TestClient;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Pipelined queries: the time budget of each runs from its own last byte, answers are written in order. */
@Timeout(60)
class PipelineIT extends ServedProgram {
    private static final String ROW = "T D:00ff27 C:SELECT 1 Z";

    /** One after the other they would take 2.4 s, longer than a client waits for one of them. */
    @Test
    void pipelinedReadsRunConcurrently() throws Exception {
        start();
        TestClient c = caller();
        ask(c, read("warm", 2000));
        b.delayMillis = 300;
        MessageWriter all = new MessageWriter();
        for (int i = 0; i < 8; i++) {
            all.append(MessageWriter.query(read("s" + i, 1200)));
        }
        long from = System.nanoTime();
        all.writeTo(c.out);
        for (int i = 0; i < 8; i++) {
            say(c.answer());
        }
        assertThat((System.nanoTime() - from) / 1_000_000).isLessThan(1_250);
        assertThat(trace.toString()).isEqualTo((ROW + "\n").repeat(8));
    }

    /** The first is the slowest: the answers to those behind it are ready before, and wait. */
    @Test
    void answersAreWrittenInTheOrderOfTheirQueries() throws Exception {
        start();
        TestClient c = caller();
        ask(c, read("warm", 2000));
        b.delayMillis = 600;
        MessageWriter.query(read("slow", 2000)).writeTo(c.out);
        await(() -> b.queries().stream().anyMatch(q -> q.contains("id=slow")));
        b.delayMillis = 0;
        MessageWriter.query(read("fast", 2000))
                .append(MessageWriter.query("DROP TABLE items"))
                .append(MessageWriter.query(""))
                .writeTo(c.out);
        await(() -> b.queries().stream().anyMatch(q -> q.contains("id=fast")));
        assertThat(c.waiting()).isZero();
        for (int i = 0; i < 4; i++) {
            say(c.answer());
        }
        assertThat(trace.toString()).isEqualTo(ROW + "\n" + ROW + "\nE:42601 Z\nI Z\n");
    }

    /** A read of a row that an earlier write changes is forwarded only once the write has its answer. */
    @Test
    void queriesOfOneRowKeepTheirOrderAroundAWrite() throws Exception {
        start();
        TestClient c = caller();
        ask(c, read("warm", 2000));
        a.delayMillis = 300;
        MessageWriter.query(read("r1", 2000))
                .append(MessageWriter.query(write("w2", 2000)))
                .append(MessageWriter.query(read("r3", 2000)))
                .append(MessageWriter.query(read("other", 2000).replace("'k'", "'another'")))
                .writeTo(c.out);
        await(() -> a.queries().stream().anyMatch(q -> q.contains("id=w2")));
        TimeUnit.MILLISECONDS.sleep(150);
        List<String> seen = b.queries();
        assertThat(seen).anyMatch(q -> q.contains("id=other")).noneMatch(q -> q.contains("id=r3"));
        for (int i = 0; i < 4; i++) {
            say(c.answer());
        }
        assertThat(trace.toString()).isEqualTo((ROW + "\n").repeat(4));
    }

    /** The time spent waiting for an earlier answer does not count. */
    @Test
    void aQueryThatHadToWaitForAnEarlierOneHasItsCompleteBudget() throws Exception {
        start();
        TestClient c = caller();
        ask(c, write("warm", 2000));
        a.delayMillis = 700;
        MessageWriter.query(write("w1", 1000))
                .append(MessageWriter.query(read("r2", 1000)))
                .writeTo(c.out);
        say(c.answer());
        say(c.answer());
        assertThat(trace.toString()).isEqualTo(ROW + "\n" + ROW + "\n");
    }
}
