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
class PipelineIT extends RouterProcessFixture {
    private static final String ROW = "T D:00ff27 C:SELECT 1 Z";

    /** Run one after the other, the reads would take 2.4 s, twice the time budget of each. */
    @Test
    void pipelinedReadsRunConcurrently() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        replica.delayMillis = 300;
        MessageWriter queries = new MessageWriter();
        for (int i = 0; i < 8; i++) {
            queries.append(MessageWriter.query(read("s" + i, 1200)));
        }
        long startNanos = System.nanoTime();
        queries.writeTo(client.out);
        for (int i = 0; i < 8; i++) {
            append(client.answer());
        }
        assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(1_250);
        assertThat(transcript.toString()).isEqualTo((ROW + "\n").repeat(8));
    }

    /** The first query is the slowest: the answers to the queries after it are complete earlier and have to wait. */
    @Test
    void answersAreWrittenInTheOrderOfTheirQueries() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        replica.delayMillis = 600;
        MessageWriter.query(read("slow", 2000)).writeTo(client.out);
        await(() -> replica.queries().stream().anyMatch(q -> q.contains("id=slow")));
        replica.delayMillis = 0;
        MessageWriter.query(read("fast", 2000))
                .append(MessageWriter.query("DROP TABLE items"))
                .append(MessageWriter.query(""))
                .writeTo(client.out);
        await(() -> replica.queries().stream().anyMatch(q -> q.contains("id=fast")));
        assertThat(client.waiting()).isZero();
        for (int i = 0; i < 4; i++) {
            append(client.answer());
        }
        assertThat(transcript.toString()).isEqualTo(ROW + "\n" + ROW + "\nE:42601 Z\nI Z\n");
    }

    /** A read of a row that an earlier query writes is forwarded only once that write has its answer. */
    @Test
    void queriesOfOneRowKeepTheirOrderAroundAWrite() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        primary.delayMillis = 300;
        MessageWriter.query(read("r1", 2000))
                .append(MessageWriter.query(write("w2", 2000)))
                .append(MessageWriter.query(read("r3", 2000)))
                .append(MessageWriter.query(read("other", 2000).replace("'k'", "'another'")))
                .writeTo(client.out);
        await(() -> primary.queries().stream().anyMatch(q -> q.contains("id=w2")));
        TimeUnit.MILLISECONDS.sleep(150);
        List<String> forwarded = replica.queries();
        assertThat(forwarded).anyMatch(q -> q.contains("id=other")).noneMatch(q -> q.contains("id=r3"));
        for (int i = 0; i < 4; i++) {
            append(client.answer());
        }
        assertThat(transcript.toString()).isEqualTo((ROW + "\n").repeat(4));
    }

    /** The time that a query waits for the answer to an earlier one must not count towards its budget. */
    @Test
    void aQueryThatHadToWaitForAnEarlierOneHasItsCompleteBudget() throws Exception {
        start();
        TestClient client = connect();
        query(client, write("warm", 2000));
        primary.delayMillis = 700;
        MessageWriter.query(write("w1", 1000))
                .append(MessageWriter.query(read("r2", 1000)))
                .writeTo(client.out);
        append(client.answer());
        append(client.answer());
        assertThat(transcript.toString()).isEqualTo(ROW + "\n" + ROW + "\n");
    }
}
