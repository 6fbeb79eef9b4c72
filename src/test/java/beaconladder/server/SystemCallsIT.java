package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.TestClient;
import beaconladder.testbed.soak.FaultPlan;
import beaconladder.testbed.soak.FaultPlan.Field;
import beaconladder.testbed.soak.FaultShim;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** System calls that fail for a while, for the program as operators start it. */
@Timeout(200)
class SystemCallsIT extends RouterProcessFixture {
    private static final int ENFILE = 23;
    private static final int ENETUNREACH = 101;
    private static final int ALWAYS = 1_000;

    private FaultPlan plan;

    @BeforeEach
    void startWithTheShim() throws Exception {
        plan = new FaultPlan(folder.resolve("plan"));
        String shim = FaultShim.build(folder).library().toString();
        int port = RouterProcess.freePort();
        router = closeAfterTest(new RouterProcess(
                        folder,
                        config(port),
                        port,
                        "export LD_PRELOAD=" + shim + " FAULT_SHIM_PLAN=" + plan.file() + "; "))
                .ready();
    }

    /** Seen in the soak: idle clients were closed a hundred times a second, and could not come back. */
    @Test
    void acceptThatFailsForAWhileClosesNobodyAndHoldsNobodyUp() throws Exception {
        List<TestClient> idle = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            idle.add(connect());
            assertThat(query(idle.get(i), read("i" + i, 900))).endsWith("Z");
        }
        TestClient busy = connect();
        Thread.sleep(200);
        plan.set(Field.ACCEPT_ERRNO, ENFILE);
        plan.set(Field.ACCEPT_PER_MILLE, ALWAYS);
        TestClient late = closeAfterTest(new TestClient(new Socket(InetAddress.getLoopbackAddress(), router.port)));
        MessageWriter.startup("app", "shop").writeTo(late.out);
        long longest = 0;
        for (int i = 0; i < 50; i++) {
            long from = System.nanoTime();
            assertThat(query(busy, read("b" + i, 900))).startsWith("T D:");
            longest = Math.max(longest, (System.nanoTime() - from) / 1_000_000);
            Thread.sleep(10);
        }
        plan.clear();
        assertThat(late.answer()).isEqualTo("R S S S S K Z");
        for (int i = 0; i < 5; i++) {
            assertThat(query(idle.get(i), read("j" + i, 900)))
                    .as("idle client " + i)
                    .startsWith("T D:");
        }
        assertThat(longest).as("ms, the longest answer meanwhile").isLessThan(100);
    }

    /** Seen in the soak: queries written ahead without an answer, on connections that stayed open. */
    @Test
    void aThreadThatCannotBeStartedLosesNoRequest() throws Exception {
        primary.delayMillis = 30;
        replica.delayMillis = 30;
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            clients.add(impatientCaller());
        }
        List<String> answers = new ArrayList<>();
        for (int round = 0; round < 6; round++) {
            // Threads that are kept for their next use have ended by then.
            Thread.sleep(2_300);
            plan.set(Field.THREAD_PER_MILLE, 500);
            for (TestClient client : clients) {
                MessageWriter ahead = new MessageWriter();
                for (int i = 0; i < 4; i++) {
                    ahead.append(MessageWriter.query(read(clients.indexOf(client) + "-" + round + "-" + i, 900)));
                }
                ahead.writeTo(client.out);
            }
            for (TestClient client : clients) {
                for (int i = 0; i < 4; i++) {
                    answers.add(answer(client));
                }
            }
            plan.clear();
            assertThat(answers).allMatch(answer -> answer.startsWith("T D:") || answer.startsWith("E:53300"));
        }
        assertThat(answers).hasSize(288);
        assertThat(answers.stream().filter(answer -> answer.startsWith("T D:")).count())
                .isGreaterThan(144);
        assertThat(router.log()).doesNotContain("Exception in thread");
    }

    /** One that waits for no answer longer than twice its time. */
    private TestClient impatientCaller() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port);
        TestClient client = closeAfterTest(new TestClient(socket));
        socket.setSoTimeout(1_800);
        MessageWriter.startup("app", "shop").writeTo(client.out);
        assertThat(client.answer()).isEqualTo("R S S S S K Z");
        return client;
    }

    private static String answer(TestClient client) {
        try {
            return client.answer();
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** No host has anything to do with it, and all of them would be set aside at once. */
    @Test
    void connectionsThatFailOnThisMachineAreHeldAgainstNoHost() throws Exception {
        TestClient c = connect();
        assertThat(query(c, read("w", 900))).startsWith("T D:");
        primary.closesAfterAnswer = true;
        replica.closesAfterAnswer = true;
        query(c, read("x", 900));
        query(c, write("y", 900));
        plan.set(Field.CONNECT_ERRNO, ENETUNREACH);
        plan.set(Field.CONNECT_PER_MILLE, ALWAYS);
        for (int i = 0; i < 6; i++) {
            assertThat(query(c, i % 2 == 0 ? read("f" + i, 200) : write("f" + i, 200)))
                    .startsWith("E:53300");
        }
        plan.clear();
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            long from = System.nanoTime();
            assertThat(query(c, i % 2 == 0 ? read("g" + i, 900) : write("g" + i, 900)))
                    .startsWith("T D:");
            times.add((System.nanoTime() - from) / 1_000_000);
        }
        assertThat(times).as("ms of each answer once the network is well").allMatch(ms -> ms < 60);
    }
}
