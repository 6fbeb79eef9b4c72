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

/** Clients of one router, a connection each; some threads ask on all of them in turns. */
final class RouterClients implements AutoCloseable {
    private static final int THREADS = 16;
    private static final int STACK = 256 * 1024;

    private final List<TestClient> callers = new ArrayList<>();
    private final ConcurrentHistogram times = new ConcurrentHistogram(3);
    private final AtomicLong ids = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private volatile int groups = 1;

    RouterClients(int port, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            TestClient caller = new TestClient(socket);
            callers.add(caller);
            MessageWriter.startup("app", "shop").writeTo(caller.out);
            caller.answer();
        }
    }

    /** Txns go to so many groups from now on, evenly. */
    void groups(int count) {
        groups = count;
    }

    /** Times of answers, in microseconds. */
    ConcurrentHistogram times() {
        return times;
    }

    long failed() {
        return failed.get();
    }

    /** Each asks once. */
    void askAll() throws InterruptedException {
        play((first, caller) -> {
            for (int i = first; i < callers.size(); i += THREADS) {
                ask(callers.get(i), 0, false);
            }
        });
    }

    /** So many txns a second for some seconds, a quarter of them writes; how many a second were answered. */
    double work(int rate, int seconds, SplittableRandom chance) throws InterruptedException {
        long from = System.nanoTime();
        long until = from + seconds * 1_000_000_000L;
        long gap = 1_000_000_000L * THREADS / rate;
        AtomicLong served = new AtomicLong();
        List<SplittableRandom> own = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            own.add(chance.split());
        }
        play((first, all) -> {
            SplittableRandom mine = own.get(first);
            long next = from + mine.nextLong(gap);
            while (next < until) {
                long left = next - System.nanoTime();
                if (left > 0) {
                    Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
                }
                next += gap;
                int turns = callers.size() / THREADS;
                if (ask(
                        callers.get(first + THREADS * mine.nextInt(turns)),
                        mine.nextInt(groups),
                        mine.nextInt(4) == 0)) {
                    served.incrementAndGet();
                }
            }
        });
        return served.get() / ((System.nanoTime() - from) / 1e9);
    }

    private interface Task {
        void run(int first, List<TestClient> callers) throws IOException, InterruptedException;
    }

    private void play(Task task) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            int first = i;
            Thread thread = new Thread(
                    null,
                    () -> {
                        try {
                            task.run(first, callers);
                        } catch (IOException | InterruptedException e) {
                            failed.incrementAndGet();
                        }
                    },
                    "callers",
                    STACK);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private boolean ask(TestClient caller, int group, boolean write) throws IOException {
        String id = "s" + Long.toHexString(ids.incrementAndGet());
        String comment = " /* id=" + id + ",c=" + (write ? "write" : "any") + ",t=acme,d=1000,cluster=" + group + " */";
        long from = System.nanoTime();
        String answer = caller.ask(
                write
                        ? "INSERT INTO items (id, doc) VALUES ('" + id + "', '\\x9f') RETURNING doc" + comment
                        : "SELECT doc FROM items WHERE id = 'k" + id.hashCode() % 100 + "'" + comment);
        times.recordValue((System.nanoTime() - from) / 1_000);
        boolean served = answer.contains("D:") && answer.endsWith("Z");
        if (!served) {
            failed.incrementAndGet();
        }
        return served;
    }

    @Override
    public void close() throws IOException {
        for (TestClient caller : callers) {
            caller.close();
        }
    }
}
