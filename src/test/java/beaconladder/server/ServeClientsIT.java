package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.HostStandIn.Manner;
import beaconladder.testbed.TestClient;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that stay connected, send messages in fragments, or send invalid messages. */
@Timeout(60)
class ServeClientsIT extends RouterProcessFixture {
    /** Clients hold at most a third of the descriptors, and clients that stay connected at most half of that. */
    @Test
    void idleClientsAreClosedForNewOnesAndWhatCrossesTheCloseIsReset() throws Exception {
        maxDescriptors = 120;
        start();
        List<TestClient> stayingClients = new ArrayList<>();
        int filesBefore = router.openFileCount();
        for (int i = 0; i < 36; i++) {
            stayingClients.add(connect());
            assertThat(stayingClients.get(i).ask(read("once" + i, 2000))).isEqualTo("T D:00ff27 C:SELECT 1 Z");
        }
        TimeUnit.MILLISECONDS.sleep(600);
        assertThat(router.openFileCount()).isLessThanOrEqualTo(filesBefore + 30);
        TestClient oldestClient = stayingClients.get(0);
        append(oldestClient.answer());
        MessageWriter.query(read("late", 2000)).writeTo(oldestClient.out);
        TimeUnit.MILLISECONDS.sleep(50);
        try {
            MessageWriter.query("").writeTo(oldestClient.out);
        } catch (SocketException e) {
            append("reset");
        }
        assertThat(transcript.toString()).isEqualTo("closed\nreset\n");
        assertThat(replica.queries()).noneMatch(q -> q.contains("id=late"));
    }

    @Test
    void pipelinedQueriesThatTogetherTakeLongerThanOneBudgetAreAllServed() throws Exception {
        start();
        TestClient client = connect();
        query(client, read("warm", 2000));
        replica.delayMillis = 150;
        for (int i = 0; i < 6; i++) {
            MessageWriter.query(read("ahead" + i, 450)).writeTo(client.out);
        }
        for (int i = 0; i < 6; i++) {
            append(client.answer());
        }
        assertThat(transcript.toString()).isEqualTo("T D:00ff27 C:SELECT 1 Z\n".repeat(6));
    }

    /** Guards against closing a client as idle after the first fragment of its query has been read. */
    @Test
    void aQueryInFragmentsIsServedAlsoNearTheDescriptorLimit() throws Exception {
        maxDescriptors = 76;
        start();
        TestClient slowClient =
                new TestClient(closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), router.port)));
        MessageWriter.startup("app", "shop").writeTo(slowClient.out);
        assertThat(slowClient.answer()).isEqualTo("R S S S S K Z");
        TimeUnit.MILLISECONDS.sleep(200);
        MessageWriter query = MessageWriter.query(write("pieces", 2000).replace("9f03", "9f03".repeat(1500)));
        byte[] bytes = new byte[query.size()];
        query.asByteBuffer().get(bytes);
        slowClient.out.write(bytes, 0, 2500);
        for (int i = 0; i < 10; i++) {
            connect();
        }
        slowClient.out.write(bytes, 2500, bytes.length - 2500);
        assertThat(slowClient.answer()).isEqualTo("T D:00ff27 C:SELECT 1 Z");
    }

    @Test
    void invalidQueriesAreRejectedWithTheirFaultAndNotForwarded() throws Exception {
        start();
        TestClient client = connect();
        String commentEnd = "t=acme,d=480,cluster=1 */";
        String read = "SELECT doc FROM items WHERE id = 'k' ";
        for (String q : List.of(
                "SELECT 1",
                read + "/* id=1",
                read + "/* nonsense */",
                read + "/* c=any," + commentEnd,
                read + "/* id=1,c=nosuch," + commentEnd,
                read + "/* id=1," + commentEnd,
                read + "/* id=1,c=any,cluster=1 */",
                read + "/* id=1,c=any,d=0,cluster=1 */",
                read + "/* id=1,c=any,d=-5,cluster=1 */",
                read + "/* id=1,c=any,d=x,cluster=1 */",
                read + "/* id=1,c=any,d=9,cluster=77 */",
                read + "/* id=1,c=any,d=9 */",
                read + "/* id=1,c=own,after=soon," + commentEnd,
                read + "/* id=1,id=2,c=any," + commentEnd,
                read + "; " + read + "/* id=1,c=any," + commentEnd,
                "DROP TABLE items /* id=1,c=any," + commentEnd,
                read + "/* id=1,c=any," + commentEnd + " OR 1=1",
                "INSERT INTO items (id, doc) VALUES ('k', '\\x9f0') RETURNING doc /* id=1,c=write," + commentEnd,
                read + "/* id=" + "1".repeat(200) + ",c=any," + commentEnd,
                read + "/* id=1,c=any,d=99999999999999999999,cluster=1 */")) {
            append(client.ask(q) + " " + client.message);
        }
        append(client.ask(read("r1", 1500)), primary.queries() + " " + replica.queries.size());
        assertThat(transcript.toString()).isEqualTo("""
                E:42601 Z the statement has no comment with id, c, d and cluster
                E:42601 Z the comment is not closed
                E:42601 Z the comment holds 'nonsense' where a name and its value belong
                E:42601 Z the comment lacks id
                E:22023 Z the comment has an impossible c
                E:42601 Z the comment lacks c
                E:42601 Z the comment lacks d
                E:22023 Z the comment has an impossible d
                E:22023 Z the comment has an impossible d
                E:22023 Z the comment has an impossible d
                E:22023 Z the comment has an impossible cluster
                E:42601 Z the comment lacks cluster
                E:22023 Z the comment has an impossible after
                E:42601 Z the comment holds id twice
                E:42601 Z the statement is neither a SELECT nor an INSERT as they are taken here
                E:42601 Z the statement is neither a SELECT nor an INSERT as they are taken here
                E:42601 Z the statement is neither a SELECT nor an INSERT as they are taken here
                E:42601 Z the value is no hexadecimal text of at most 64 KiB
                E:22023 Z the comment has an impossible id
                E:22023 Z the comment has an impossible d
                T D:00ff27 C:SELECT 1 Z
                [] 1
                """);
    }

    @Test
    void otherStartupMessagesAndFramesAreAnsweredAsTheProtocolStates() throws Exception {
        start();
        MessageWriter extendedMessages = new MessageWriter()
                .append(
                        new byte[] {'P', 0, 0, 0, 8, 0, 0, 0, 0, 'B', 0, 0, 0, 4, 'd', 0, 0, 0, 4, 'S', 0, 0, 0, 4},
                        0,
                        24);
        TestClient client = connect();
        extendedMessages.writeTo(client.out);
        append("extended " + client.answer() + ", then " + client.ask(""));
        for (String hex : List.of(
                "00000008 04d2162f",
                "00000008 04d21630",
                "00000010 04d2162e 00000001 00000002",
                "00000008 00020000",
                "00000003",
                "7fffffff 00030000",
                "00000010 00030002 5f70715f 2e780000",
                "0000000900030000 00 51 7fffffff",
                "0000000900030000 00 51 00000003",
                "0000000900030000 00 7a 00000004",
                "0000000900030000 00 58 00000004")) {
            Socket socket = closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), router.port));
            TestClient rawClient = new TestClient(socket);
            rawClient.out.write(HexFormat.of().parseHex(hex.replace(" ", "")));
            socket.shutdownOutput();
            append(hex + " -> " + rawClient.rest());
        }
        assertThat(transcript.toString()).isEqualTo("""
                extended E:0A000 Z, then I Z
                00000008 04d2162f -> N closed
                00000008 04d21630 -> N closed
                00000010 04d2162e 00000001 00000002 -> closed
                00000008 00020000 -> E:0A000 closed
                00000003 -> E:08P01 closed
                7fffffff 00030000 -> E:08P01 closed
                00000010 00030002 5f70715f 2e780000 -> v R S S S S K Z closed
                0000000900030000 00 51 7fffffff -> R S S S S K Z E:08P01 closed
                0000000900030000 00 51 00000003 -> R S S S S K Z E:08P01 closed
                0000000900030000 00 7a 00000004 -> R S S S S K Z E:08P01 closed
                0000000900030000 00 58 00000004 -> R S S S S K Z closed
                """);
    }

    /** A wait in the kernel ends late in proportion to its length; the router must answer in time nevertheless. */
    @Test
    void theAnswerToARequestWhoseHostIsSilentIsSentBeforeItsDeadline() throws Exception {
        start();
        TestClient client = connect();
        query(client, write("warm", 2000));
        primary.manner = Manner.SILENT;
        long startNanoTime = System.nanoTime();
        append(client.ask(write("w", 3000)));
        assertThat((System.nanoTime() - startNanoTime) / 1_000_000).isBetween(2_900L, 3_050L);
        assertThat(transcript.toString()).isEqualTo("E:40003 Z\n");
    }
}
