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

/** System calls that fail for a while, in a router started as operators do. */
@Timeout(200)
class SystemCallsIT extends RouterProcessFixture {
    private static final int ENFILE = 23;
    private static final int ENETUNREACH = 101;
    private static final int ALWAYS = 1_000;
    /** A router frees descriptors for the next failure in a row: that many may mean that this process lacks them. */
    private static final int FAILED_ACCEPTS_WITHOUT_EFFECT = 10;

    private FaultPlan plan;

    @BeforeEach
    void startWithFaultShim() throws Exception {
        plan = new FaultPlan(folder.resolve("plan"));
        String shim = FaultShim.build(folder).library().toString();
        int port = RouterProcess.freePort();
        router = closeAfterTest(new RouterProcess(
                        folder,
                        config(port),
                        port,
                        "export LD_PRELOAD=" + shim + " FAULT_SHIM_PLAN=" + plan.file() + "; "))
                .awaitReady();
    }

    /**
     * Guards against freeing descriptors for every failed accept: in a soak test, idle clients were closed a hundred
     * times a second and could not connect again.
     */
    @Test
    void failingAcceptsCloseNoClientAndDelayNone() throws Exception {
        List<TestClient> idleClients = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            idleClients.add(connect());
            assertThat(query(idleClients.get(i), read("i" + i, 900))).endsWith("Z");
        }
        TestClient busyClient = connect();
        Thread.sleep(200);
        // A count and not a time: on a slow machine more accepts fail within the time that the queries below take.
        plan.set(Field.MAX_FAILED_ACCEPTS, FAILED_ACCEPTS_WITHOUT_EFFECT);
        plan.set(Field.ACCEPT_ERRNO, ENFILE);
        plan.set(Field.ACCEPT_PER_MILLE, ALWAYS);
        TestClient lateClient =
                closeAfterTest(new TestClient(new Socket(InetAddress.getLoopbackAddress(), router.port)));
        MessageWriter.startup("app", "shop").writeTo(lateClient.out);
        long maxMillis = 0;
        for (int i = 0; i < 50; i++) {
            long startNanoTime = System.nanoTime();
            assertThat(query(busyClient, read("b" + i, 900))).startsWith("T D:");
            maxMillis = Math.max(maxMillis, (System.nanoTime() - startNanoTime) / 1_000_000);
            Thread.sleep(10);
        }
        assertThat(lateClient.answer()).isEqualTo("R S S S S K Z");
        assertThat(router.log()).contains("accepting clients failed");
        for (int i = 0; i < 5; i++) {
            assertThat(query(idleClients.get(i), read("j" + i, 900)))
                    .as("idle client " + i)
                    .startsWith("T D:");
        }
        assertThat(maxMillis).as("ms, the longest answer meanwhile").isLessThan(100);
    }

    /** Guards against a fault seen in a soak test: pipelined queries got no answer on connections that stayed open. */
    @Test
    void aThreadThatCannotBeStartedLosesNoRequest() throws Exception {
        primary.delayMillis = 30;
        replica.delayMillis = 30;
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            clients.add(connectWithTimeout());
        }
        List<String> answers = new ArrayList<>();
        for (int round = 0; round < 6; round++) {
            // Longer than the keep-alive time of idle threads, so that the requests need new threads.
            Thread.sleep(2_300);
            plan.set(Field.THREAD_PER_MILLE, 500);
            for (TestClient client : clients) {
                MessageWriter messages = new MessageWriter();
                for (int i = 0; i < 4; i++) {
                    messages.append(MessageWriter.query(read(clients.indexOf(client) + "-" + round + "-" + i, 900)));
                }
                messages.writeTo(client.out);
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

    /**
     * Guards against a client that is taken for closed as a read of its connection was interrupted: the queries that
     * had been read on it got no answer.
     */
    @Test
    void interruptedReadsEndNoClientsConnection() throws Exception {
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(connectWithTimeout());
        }
        List<String> answers = new ArrayList<>();
        plan.set(Field.INTERRUPT_PER_MILLE, 200);
        for (int round = 0; round < 20; round++) {
            for (TestClient client : clients) {
                MessageWriter.query(read(clients.indexOf(client) + "-" + round, 900))
                        .append(MessageWriter.query(""))
                        .writeTo(client.out);
            }
            for (TestClient client : clients) {
                answers.add(answer(client));
                answers.add(answer(client));
            }
        }
        plan.clear();
        assertThat(answers).hasSize(320).allMatch(answer -> answer.endsWith("Z"));
    }

    /** Connects a client that waits for an answer for at most twice the time budget. */
    private TestClient connectWithTimeout() throws IOException {
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

    /**
     * Guards against counting local failures as failures of hosts: all hosts would be taken out of use at once though
     * none of them is the cause.
     */
    @Test
    void connectionsThatFailOnThisMachineCountAgainstNoHost() throws Exception {
        TestClient client = connect();
        assertThat(query(client, read("w", 900))).startsWith("T D:");
        primary.closesAfterAnswer = true;
        replica.closesAfterAnswer = true;
        query(client, read("x", 900));
        query(client, write("y", 900));
        plan.set(Field.CONNECT_ERRNO, ENETUNREACH);
        plan.set(Field.CONNECT_PER_MILLE, ALWAYS);
        for (int i = 0; i < 6; i++) {
            assertThat(query(client, i % 2 == 0 ? read("f" + i, 200) : write("f" + i, 200)))
                    .startsWith("E:53300");
        }
        plan.clear();
        List<Long> answerMillis = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            long startNanoTime = System.nanoTime();
            assertThat(query(client, i % 2 == 0 ? read("g" + i, 900) : write("g" + i, 900)))
                    .startsWith("T D:");
            answerMillis.add((System.nanoTime() - startNanoTime) / 1_000_000);
        }
        assertThat(answerMillis)
                .as("ms of each answer once the network is well")
                .allMatch(ms -> ms < 60);
    }
}
