package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.StandInThreads;
import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that pipeline small queries at full speed to a router on one CPU, beside others that send one at a time. */
@Timeout(120)
class ClientFloodIT extends RouterProcessFixture {
    /** Binds the shell, and so the router, to the first CPU that it may use. */
    private static final String ONE_CPU = "taskset -pc $(sed -n 's/^Cpus_allowed_list:[^0-9]*\\([0-9]*\\).*/\\1/p' "
            + "/proc/self/status) $$ > /dev/null; ";

    private static final int FLOODING_CLIENTS = 6;
    private static final int OTHER_CLIENTS = 8;
    private static final int QUERIES_PER_WRITE = 200;
    private static final int FLOOD_MILLIS = 3_000;
    private static final int OTHERS_PAUSE_MILLIS = 40;
    private static final int BUDGET_MILLIS = 350;
    /** How long after its deadline the answer to a request counts as lost. */
    private static final int LOST_MILLIS = 500;
    /** The reader of a new process is the slowest, so each flood meets several of them. */
    private static final int PROCESSES = 4;

    private volatile boolean flooding;

    /** Guards against answers to other clients that come late or never while some clients flood empty queries. */
    @Test
    void otherClientsAreAnsweredWhileSomeFloodEmptyQueries() throws Exception {
        assertOthersAreAnswered(i -> "");
    }

    /** Guards against the same with a query that the router answers itself, and with queries that are invalid. */
    @Test
    void otherClientsAreAnsweredWhileSomeFloodSettingsAndInvalidQueries() throws Exception {
        assertOthersAreAnswered(i -> i % 2 == 0 ? "SET a = 1" : "SELEC nonsense");
    }

    /** Guards against reads of some clients that take all places in the queues, so that others are only rejected. */
    @Test
    void otherClientsAreServedWhileSomeFloodReads() throws Exception {
        List<String> answers = assertOthersAreAnswered(i -> read("f" + System.nanoTime() + "-" + i, 300));
        assertThat(answers.stream().filter(answer -> answer.startsWith("T D:")).count())
                .as(answers.toString())
                .isGreaterThan(answers.size() / 2);
    }

    /** Plays the flood against new processes; returns the answers to the other clients. */
    private List<String> assertOthersAreAnswered(IntFunction<String> floodedQuery) throws Exception {
        List<String> answers = new ArrayList<>();
        for (int i = 0; i < PROCESSES; i++) {
            int port = RouterProcess.freePort();
            router = closeAfterTest(new RouterProcess(folder, config(port), port, ONE_CPU))
                    .awaitReady();
            flooding = true;
            List<Thread> floods = new ArrayList<>();
            for (int n = 0; n < FLOODING_CLIENTS; n++) {
                floods.add(flood(floodedQuery));
            }
            List<Thread> others = new ArrayList<>();
            for (int n = 0; n < OTHER_CLIENTS; n++) {
                others.add(other("p" + i + "c" + n + "q", answers));
            }
            for (Thread other : others) {
                StandInThreads.join(other, FLOOD_MILLIS + 30_000);
            }
            flooding = false;
            router.close();
            for (Thread flood : floods) {
                StandInThreads.join(flood, 10_000);
            }
        }
        synchronized (answers) {
            assertThat(answers).hasSizeGreaterThan(PROCESSES * OTHER_CLIENTS);
            assertThat(answers).noneMatch(answer -> answer.startsWith("lost") || answer.contains("closed"));
            return answers;
        }
    }

    /** Starts a client that writes at full speed, and reads and drops the answers. */
    private Thread flood(IntFunction<String> query) throws IOException {
        Socket socket = closeAfterTest(new Socket(InetAddress.getLoopbackAddress(), router.port));
        StandInThreads.spawn(() -> drop(socket.getInputStream()));
        return StandInThreads.spawn(() -> {
            try {
                MessageWriter.startup("app", "shop").writeTo(socket.getOutputStream());
                while (flooding) {
                    MessageWriter queries = new MessageWriter();
                    for (int i = 0; i < QUERIES_PER_WRITE; i++) {
                        queries.append(MessageWriter.query(query.apply(i)));
                    }
                    queries.writeTo(socket.getOutputStream());
                }
            } catch (IOException e) {
                // The router may end such a connection.
            }
        });
    }

    private static void drop(InputStream in) {
        byte[] buffer = new byte[1 << 16];
        try {
            while (in.read(buffer) >= 0) {
                continue;
            }
        } catch (IOException e) {
            // The connection has ended.
        }
    }

    /** Starts a client that sends one read at a time and records each answer, or that it was lost. */
    private Thread other(String name, List<String> answers) {
        return StandInThreads.spawn(() -> {
            TestClient client = connect();
            long endNanos = System.nanoTime() + FLOOD_MILLIS * 1_000_000L;
            for (int i = 0; System.nanoTime() < endNanos; i++) {
                long startNanos = System.nanoTime();
                String answer = query(client, read(name + i, BUDGET_MILLIS));
                long millis = (System.nanoTime() - startNanos) / 1_000_000;
                synchronized (answers) {
                    answers.add(millis <= BUDGET_MILLIS + LOST_MILLIS ? answer : "lost after " + millis + " ms");
                }
                StandInThreads.sleep(OTHERS_PAUSE_MILLIS);
            }
        });
    }
}
