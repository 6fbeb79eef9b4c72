package beaconladder.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** One tenant's flood, of one kind, at a stated rate; what it is answered is counted and no more. */
final class Flood implements AutoCloseable {
    /** The kinds that the issue names. */
    enum Kind {
        CONNECTIONS,
        ONE_CONNECTION,
        LARGE,
        READS,
        WRITES
    }

    /** So many at once: more than any one tenant may have in hand. */
    private static final int THREADS = 320;

    private static final int LARGE_BYTES = 48 * 1024;
    private static final int AHEAD = 32;
    private final AtomicLong ids = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong declined = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    Flood(ClientLoad.Routers doors, Kind kind, String tenant, int group, int perSecond) {
        int count = kind == Kind.ONE_CONNECTION ? 1 : THREADS;
        long gapNanos = 1_000_000_000L * count / perSecond;
        for (int i = 0; i < count; i++) {
            int router = i % doors.count();
            threads.add(StandInThreads.spawn(() -> {
                ClientLoad.Line line = null;
                long next = System.nanoTime();
                while (!stopped) {
                    try {
                        if (line == null) {
                            line = new ClientLoad.Line(doors.port(router), router);
                        }
                        int batch = kind == Kind.ONE_CONNECTION ? AHEAD : 1;
                        next += batch * gapNanos;
                        for (int n = 0; n < batch; n++) {
                            line.send(query(kind, tenant, group));
                        }
                        boolean good = true;
                        for (int n = 0; n < batch && good; n++) {
                            good = line.answer();
                            (line.code() == null ? served : declined).incrementAndGet();
                        }
                        if (!good || kind == Kind.CONNECTIONS) {
                            line.close();
                            line = null;
                        }
                    } catch (IOException e) {
                        if (line != null) {
                            line.close();
                        }
                        line = null;
                    }
                    long left = next - System.nanoTime();
                    if (left > 0) {
                        StandInThreads.sleep(left / 1_000_000);
                    } else {
                        next = System.nanoTime();
                    }
                }
                if (line != null) {
                    line.close();
                }
            }));
        }
    }

    private String query(Kind kind, String tenant, int group) {
        long n = ids.incrementAndGet();
        boolean write = kind == Kind.WRITES || kind == Kind.LARGE || kind != Kind.READS && n % 2 == 0;
        String query = ClientLoad.query(
                "f" + Long.toHexString(n),
                write ? "write" : "any",
                tenant,
                "flood" + n % 100,
                group,
                n,
                0,
                ClientLoad.BUDGET_MILLIS);
        return kind != Kind.LARGE ? query : query.replace("') RETURNING", "00".repeat(LARGE_BYTES) + "') RETURNING");
    }

    long served() {
        return served.get();
    }

    long declined() {
        return declined.get();
    }

    @Override
    public void close() {
        stopped = true;
        for (Thread thread : threads) {
            StandInThreads.join(thread, 3_000);
        }
    }
}
