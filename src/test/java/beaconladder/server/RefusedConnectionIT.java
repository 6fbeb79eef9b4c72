package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Queries that are written ahead on a connection beyond its tenant's quota of connections. */
@Timeout(60)
class RefusedConnectionIT extends RouterProcessFixture {
    private static final String REFUSED = "E:53300 Z";
    private static final String PLAN = """
            (cell north (groups 1) (share 4%))
            (cell south (groups 2) (share 96%))
            (tenant acme (cell north) (share 20%))
            (tenant beta (cell north) (share 80%))
            """;
    /** More than acme's quota: 4% of a third of the descriptors, and a fifth of that. */
    private static final int QUOTA_MAX = 12;

    /** Half a second in which a refused connection is still answered, twice the sweep, and a busy machine. */
    private static final long MAX_END_MILLIS = 2_000;

    @BeforeEach
    void useUpTheQuota() throws Exception {
        Path plan = folder.resolve("router.plan");
        Files.writeString(plan, PLAN);
        planFile = plan;
        start();
        for (int i = 0; i < QUOTA_MAX; i++) {
            if (connect().ask(read("warm" + i, 2000)).startsWith("E:53300")) {
                return;
            }
        }
        throw new AssertionError("the quota is larger than expected");
    }

    /** Guards against queries that are read and never answered, as the first of them is refused with the connection. */
    @Test
    void eachQueryThatIsWrittenAtOnceOnARefusedConnectionIsAnswered() throws Exception {
        for (int queries : List.of(1, 4, 64, 400)) {
            TestClient client = connect();
            send(client, "once" + queries + "x", queries);
            assertThat(answers(client, queries)).isEqualTo(refusals(queries));
            assertEndsInTime(client);
        }
        assertNothingRan("once");
    }

    /** Guards against the same where the queries come in parts, while the connection is being ended. */
    @Test
    void eachQueryThatIsWrittenInPartsOnARefusedConnectionIsAnswered() throws Exception {
        TestClient client = connect();
        byte[] bytes = bytes(queries("parts", 8));
        for (int i = 0; i < bytes.length; i += 50) {
            client.out.write(bytes, i, Math.min(50, bytes.length - i));
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(answers(client, 8)).isEqualTo(refusals(8));
        assertEndsInTime(client);
        assertNothingRan("parts");
    }

    /** Guards against the same for writes, for large queries, and behind queries that the router answers itself. */
    @Test
    void writesLargeQueriesAndLocalAnswersOnARefusedConnectionAreAnsweredInOrder() throws Exception {
        TestClient client = connect();
        MessageWriter.query(write("mixed1", 2000))
                .append(MessageWriter.query(""))
                .append(MessageWriter.query(write("mixed2", 2000).replace("9f03", "9f03".repeat(15_000))))
                .append(MessageWriter.query("DROP TABLE items"))
                .append(MessageWriter.query(write("mixed3", 2000)))
                .writeTo(client.out);
        assertThat(answers(client, 5)).isEqualTo(List.of(REFUSED, "I Z", REFUSED, "E:42601 Z", REFUSED));
        assertEndsInTime(client);
        assertNothingRan("mixed");
    }

    /** Guards against the same with half a query behind them, which is not answered, and with an unreadable message. */
    @Test
    void queriesBeforeAnIncompleteOrUnreadableMessageOnARefusedConnectionAreAnswered() throws Exception {
        TestClient half = connect();
        send(half, "half", 4);
        half.out.write(new byte[] {'Q', 0, 0, 1, 0, 'S', 'E'});
        assertThat(answers(half, 4)).isEqualTo(refusals(4));
        assertEndsInTime(half);
        TestClient unreadable = connect();
        queries("unreadable", 4).append(new byte[] {'z', 0, 0, 0, 4}, 0, 5).writeTo(unreadable.out);
        assertThat(answers(unreadable, 5)).isEqualTo(withLast(refusals(4), "E:08P01 closed"));
        assertNothingRan("half");
        assertNothingRan("unreadable");
    }

    /** The other side: a client that keeps sending is ended, too, with all that was answered before. */
    @Test
    void aClientThatKeepsSendingOnARefusedConnectionIsEndedInTime() throws Exception {
        TestClient client = connect();
        long beginMillis = System.currentTimeMillis();
        int sent = 0;
        try {
            while (System.currentTimeMillis() - beginMillis < MAX_END_MILLIS) {
                send(client, "keeps" + sent + "x", 1);
                sent++;
                TimeUnit.MILLISECONDS.sleep(2);
            }
        } catch (IOException e) {
            append("ended");
        }
        assertThat(transcript.toString()).isEqualTo("ended\n");
        String answer = client.answer();
        int answered = 0;
        while (answer.equals(REFUSED)) {
            answered++;
            answer = client.answer();
        }
        assertThat(answer).isEqualTo("closed");
        assertThat(client.reset()).as("%d of %d answered", answered, sent).isTrue();
        assertNothingRan("keeps");
    }

    /** The other side: connections that are refused do not use the quota, and a place that becomes free is used. */
    @Test
    void theQuotaStaysAsItIsAndAFreePlaceIsUsedByTheNextConnection() throws Exception {
        for (int i = 0; i < QUOTA_MAX; i++) {
            TestClient refused = connect();
            send(refused, "share" + i + "x", 3);
            assertThat(answers(refused, 3)).isEqualTo(refusals(3));
        }
        assertNothingRan("share");
        assertThat(connect().ask(read("beta", 2000).replace("t=acme", "t=beta")))
                .startsWith("T D:");
        closeClients();
        await(() -> ask("free").startsWith("T D:"));
    }

    // ---- Helpers ------------------------------------------------------------------------------------------

    private String ask(String id) {
        try (TestClient client = connect()) {
            return client.ask(read(id + System.nanoTime(), 2000));
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static MessageWriter queries(String id, int count) {
        MessageWriter messages = new MessageWriter();
        for (int i = 0; i < count; i++) {
            messages.append(MessageWriter.query(read(id + i, 2000)));
        }
        return messages;
    }

    private static void send(TestClient client, String id, int count) throws IOException {
        queries(id, count).writeTo(client.out);
    }

    private static byte[] bytes(MessageWriter messages) {
        byte[] bytes = new byte[messages.size()];
        messages.asByteBuffer().get(bytes);
        return bytes;
    }

    private static List<String> answers(TestClient client, int count) throws IOException {
        List<String> answers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            answers.add(client.answer());
        }
        return answers;
    }

    private static List<String> refusals(int count) {
        return Collections.nCopies(count, REFUSED);
    }

    private static List<String> withLast(List<String> answers, String last) {
        List<String> all = new ArrayList<>(answers);
        all.add(last);
        return all;
    }

    private static void assertEndsInTime(TestClient client) throws IOException {
        long beginMillis = System.currentTimeMillis();
        assertThat(client.answer()).isEqualTo("closed");
        assertThat(System.currentTimeMillis() - beginMillis).isLessThan(MAX_END_MILLIS);
    }

    private void assertNothingRan(String id) {
        assertThat(IntStream.of(0, 1)
                        .mapToObj(i -> i == 0 ? primary : replica)
                        .flatMap(host -> host.queries().stream())
                        .filter(query -> query.contains("id=" + id)))
                .isEmpty();
    }
}
