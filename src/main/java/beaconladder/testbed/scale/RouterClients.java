package beaconladder.testbed.scale;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;

/** Clients of one router, a connection each; a few threads send statements on all of them in turn. */
final class RouterClients implements AutoCloseable {
    private static final int THREADS = 16;
    private static final int STACK_BYTES = 256 * 1024;

    private final List<TestClient> clients = new ArrayList<>();
    private final ConcurrentHistogram times = new ConcurrentHistogram(3);
    private final AtomicLong ids = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private volatile int groups = 1;

    RouterClients(int port, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            TestClient client = new TestClient(socket);
            clients.add(client);
            MessageWriter.startup("app", "shop").writeTo(client.out);
            client.answer();
        }
    }

    /** Spreads further transactions evenly over so many groups. */
    void groups(int count) {
        groups = count;
    }

    /** Returns the response times, in microseconds. */
    ConcurrentHistogram times() {
        return times;
    }

    long failed() {
        return failed.get();
    }

    /** Sends one statement on each connection. */
    void queryOnEach() throws InterruptedException {
        runThreads((threadIndex, client) -> {
            for (int i = threadIndex; i < clients.size(); i += THREADS) {
                query(clients.get(i), 0, false);
            }
        });
    }

    /**
     * Sends so many transactions per second for some seconds, a quarter of them writes, and returns how many per second
     * were served.
     */
    double runAtRate(int rate, int seconds, SplittableRandom random) throws InterruptedException {
        long startNanos = System.nanoTime();
        long deadline = startNanos + seconds * 1_000_000_000L;
        long intervalNanos = 1_000_000_000L * THREADS / rate;
        AtomicLong served = new AtomicLong();
        List<SplittableRandom> randomByThread = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            randomByThread.add(random.split());
        }
        runThreads((threadIndex, connections) -> {
            SplittableRandom threadRandom = randomByThread.get(threadIndex);
            long nextNanos = startNanos + threadRandom.nextLong(intervalNanos);
            while (nextNanos < deadline) {
                long remainingNanos = nextNanos - System.nanoTime();
                if (remainingNanos > 0) {
                    Thread.sleep(remainingNanos / 1_000_000, (int) (remainingNanos % 1_000_000));
                }
                nextNanos += intervalNanos;
                int clientsPerThread = clients.size() / THREADS;
                if (query(
                        clients.get(threadIndex + THREADS * threadRandom.nextInt(clientsPerThread)),
                        threadRandom.nextInt(groups),
                        threadRandom.nextInt(4) == 0)) {
                    served.incrementAndGet();
                }
            }
        });
        return served.get() / ((System.nanoTime() - startNanos) / 1e9);
    }

    private interface Task {
        void run(int threadIndex, List<TestClient> clients) throws IOException, InterruptedException;
    }

    private void runThreads(Task task) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            int threadIndex = i;
            Thread thread = new Thread(
                    null,
                    () -> {
                        try {
                            task.run(threadIndex, clients);
                        } catch (IOException | InterruptedException e) {
                            failed.incrementAndGet();
                        }
                    },
                    "clients",
                    STACK_BYTES);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private boolean query(TestClient client, int group, boolean write) throws IOException {
        String id = "s" + Long.toHexString(ids.incrementAndGet());
        String comment = " /* id=" + id + ",c=" + (write ? "write" : "any") + ",t=acme,d=1000,cluster=" + group + " */";
        long startNanos = System.nanoTime();
        String answer = client.ask(
                write
                        ? "INSERT INTO items (id, doc) VALUES ('" + id + "', '\\x9f') RETURNING doc" + comment
                        : "SELECT doc FROM items WHERE id = 'k" + id.hashCode() % 100 + "'" + comment);
        times.recordValue((System.nanoTime() - startNanos) / 1_000);
        boolean served = answer.contains("D:") && answer.endsWith("Z");
        if (!served) {
            failed.incrementAndGet();
        }
        return served;
    }

    @Override
    public void close() throws IOException {
        for (TestClient client : clients) {
            client.close();
        }
    }
}
