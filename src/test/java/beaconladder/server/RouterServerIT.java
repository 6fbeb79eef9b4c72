package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.HostStandIn;
import beaconladder.testbed.HostStandIn.Manner;
import beaconladder.testbed.TestClient;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What clients get: the packaged program between stand-ins, over sockets. */
@Timeout(60)
class RouterServerIT extends ServedProgram {
    @Test
    void readsGoToTheReplicaAndWritesToThePrimaryWithTheirTextUnchangedAndTheRowAsItCame() throws Exception {
        start();
        TestClient c = caller();
        say(c.ask(read("r1", 1500)), c.ask(write("w1", 1500)), c.ask("SET x = 1"), c.ask(""), c.ask("reset all"));
        say("a " + a.queries(), "b " + b.queries());
        assertThat(trace.toString().replaceAll("d=1[34]\\d\\d", "d=less")).isEqualTo("""
                T D:00ff27 C:SELECT 1 Z
                T D:00ff27 C:SELECT 1 Z
                C:SET Z
                I Z
                C:RESET Z
                a [INSERT INTO items (id, doc) VALUES ('k', '\\x9f03') RETURNING doc \
                /* id=w1,c=write,t=acme,d=less,cluster=1 */]
                b [SELECT doc FROM items WHERE id = 'k' /* id=r1,c=any,t=acme,d=less,cluster=1 */]
                """);
    }

    @Test
    void queriesWrittenAheadAreAnsweredInTheirOrderAndTheFirstMayComeWithTheStartup() throws Exception {
        start();
        Socket socket = keep(new Socket(InetAddress.getLoopbackAddress(), router.port));
        b.delayMillis = 100;
        MessageWriter all = MessageWriter.startup("app", "shop")
                .append(MessageWriter.query(read("r1", 2000)))
                .append(MessageWriter.query(""))
                .append(MessageWriter.query(read("r2", 2000)))
                .append(MessageWriter.query("DISCARD ALL"));
        all.writeTo(socket.getOutputStream());
        TestClient c = new TestClient(socket);
        say(c.answer(), c.answer(), c.answer(), c.answer(), c.answer());
        assertThat(trace.toString()).isEqualTo("""
                R S S S S K Z
                T D:00ff27 C:SELECT 1 Z
                I Z
                T D:00ff27 C:SELECT 1 Z
                C:DISCARD Z
                """);
    }

    /** Each row of the table of outcomes, for a txn that may run once and for one that may run again. */
    @Test
    void everyOutcomeOfAHostIsToldApart() throws Exception {
        start();
        TestClient c = caller();
        for (Manner manner : List.of(
                Manner.MISS,
                Manner.BEHIND,
                Manner.ERROR,
                Manner.FULL,
                Manner.RESET,
                Manner.CUT,
                Manner.GARBAGE,
                Manner.TWO_ROWS,
                Manner.HUGE,
                Manner.UNKNOWN,
                Manner.SILENT,
                Manner.NO_DESCRIPTION,
                Manner.TWO_COLUMNS,
                Manner.INNER_LENGTH,
                Manner.ERROR_BEHIND_ROW,
                Manner.HALF_AN_ERROR,
                Manner.ODD_TAG,
                Manner.STALL)) {
            a.manner = manner;
            b.manner = manner;
            int before = a.queries.size() + b.queries.size();
            String once = c.ask(write("w", 600));
            int sent = a.queries.size() + b.queries.size() - before;
            a.manner = Manner.ANSWER;
            b.manner = Manner.ANSWER;
            say(manner + ": " + once + (once.contains("40003") && sent > 1 ? " SENT AGAIN" : ""));
            // What was held against the host is settled before the next.
            await(() -> ask(c, write("again", 2000)).contains("C:SELECT 1"));
        }
        assertThat(trace.toString()).isEqualTo("""
                MISS: E:53300 Z
                BEHIND: E:53300 Z
                ERROR: E:40003 Z
                FULL: E:53300 Z
                RESET: E:40003 Z
                CUT: E:40003 Z
                GARBAGE: E:40003 Z
                TWO_ROWS: E:40003 Z
                HUGE: E:40003 Z
                UNKNOWN: E:40003 Z
                SILENT: E:40003 Z
                NO_DESCRIPTION: E:40003 Z
                TWO_COLUMNS: E:40003 Z
                INNER_LENGTH: E:40003 Z
                ERROR_BEHIND_ROW: E:40003 Z
                HALF_AN_ERROR: E:40003 Z
                ODD_TAG: E:40003 Z
                STALL: E:40003 Z
                """);
    }

    /** A spoilt answer is known to be one long before the txn's time is over. */
    @Test
    void aReadWhoseAnswerIsSpoiltOrBreaksOffGoesAgainInTime() throws Exception {
        start();
        TestClient c = caller();
        HostStandIn d = keep(new HostStandIn("follower"));
        discovery.list(false, d.entry("d", "Ready"));
        await(() -> ask(c, read("warm", 2000)).contains("C:SELECT 1") && !d.queries.isEmpty());
        b.manner = Manner.STALL;
        d.value = new byte[] {5};
        int before = b.queries.size();
        while (b.queries.size() == before) {
            long from = System.nanoTime();
            assertThat(c.ask(read("r" + from, 1500))).isEqualTo("T D:05 C:SELECT 1 Z");
            assertThat(System.nanoTime() - from).isLessThan(450_000_000L);
        }
    }

    @Test
    void whatAHostSendsBehindItsAnswerIsNeverServedToTheNextTxn() throws Exception {
        start();
        TestClient c = caller();
        b.manner = Manner.TWICE;
        for (int i = 1; i <= 20; i++) {
            b.value = new byte[] {(byte) i};
            say(c.ask(read("t" + i, 1500)));
        }
        assertThat(trace.toString())
                .isEqualTo(java.util.stream.IntStream.rangeClosed(1, 20)
                        .mapToObj(i -> "T D:%02x C:SELECT 1 Z\n".formatted(i))
                        .collect(Collectors.joining()));
    }

    @Test
    void theIdOfATxnInHandIsRefusedAndThatTxnIsUnharmed() throws Exception {
        start();
        b.delayMillis = 300;
        TestClient first = caller();
        TestClient second = caller();
        MessageWriter.query(read("same", 2000)).writeTo(first.out);
        await(() -> b.queries.size() == 1);
        say(second.ask(read("same", 2000)), first.answer(), second.ask(read("same", 2000)));
        assertThat(trace.toString()).isEqualTo("E:22023 Z\nT D:00ff27 C:SELECT 1 Z\nT D:00ff27 C:SELECT 1 Z\n");
    }

    /** Each is told within three seconds, and the usual clients don't notice. */
    @Test
    void whoConnectsAndSaysNothingOrHalfAMessageIsToldAndClosed() throws Exception {
        sockets = 200;
        start();
        TestClient usual = caller();
        ask(usual, read("warm", 2000));
        List<TestClient> bad = new ArrayList<>();
        long from = System.nanoTime();
        for (int i = 0; i < 120; i++) {
            TestClient each = new TestClient(keep(new Socket(InetAddress.getLoopbackAddress(), router.port)));
            if (i % 3 > 0) {
                each.out.write(HexFormat.of().parseHex("000000"));
            }
            if (i % 3 > 1) {
                each.out.write(HexFormat.of().parseHex("0900030000005100000fff4142"));
            }
            bad.add(each);
            assertThat(usual.ask(read("u" + i, 2000))).isEqualTo("T D:00ff27 C:SELECT 1 Z");
        }
        for (TestClient each : bad) {
            assertThat(each.rest())
                    .isIn("E:08P01 closed", "R S S S S K Z E:08P01 closed", "closed", "R S S S S K Z closed");
        }
        assertThat(System.nanoTime() - from).isLessThan(3_000_000_000L);
        assertThat(usual.ask(read("end", 2000))).isEqualTo("T D:00ff27 C:SELECT 1 Z");
        assertThat(router.threads()).isLessThan(60);
    }
}
