package beaconladder.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A flood of requests of one tenant at a given rate; counts the answers without checking them. */
final class Flood implements AutoCloseable {
    /** What the flood consists of: a connection per request, one pipelining connection, or a kind of statement. */
    enum Kind {
        CONNECTIONS,
        ONE_CONNECTION,
        LARGE,
        READS,
        WRITES
    }

    /** Concurrent connections: more requests than one tenant may have in flight. */
    private static final int THREADS = 320;

    private static final int LARGE_BYTES = 48 * 1024;
    private static final int PIPELINED_REQUESTS = 32;
    private final AtomicLong ids = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong declined = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closed;

    Flood(ClientLoad.Routers routers, Kind kind, String tenant, int group, int perSecond) {
        int count = kind == Kind.ONE_CONNECTION ? 1 : THREADS;
        long intervalNanos = 1_000_000_000L * count / perSecond;
        for (int i = 0; i < count; i++) {
            int router = i % routers.count();
            threads.add(StandInThreads.spawn(() -> {
                ClientLoad.Line line = null;
                long nextNanos = System.nanoTime();
                while (!closed) {
                    try {
                        if (line == null) {
                            line = new ClientLoad.Line(routers.port(router), router);
                        }
                        int batch = kind == Kind.ONE_CONNECTION ? PIPELINED_REQUESTS : 1;
                        nextNanos += batch * intervalNanos;
                        for (int n = 0; n < batch; n++) {
                            line.send(query(kind, tenant, group));
                        }
                        boolean connected = true;
                        for (int n = 0; n < batch && connected; n++) {
                            connected = line.answer();
                            (line.code() == null ? served : declined).incrementAndGet();
                        }
                        if (!connected || kind == Kind.CONNECTIONS) {
                            line.close();
                            line = null;
                        }
                    } catch (IOException e) {
                        if (line != null) {
                            line.close();
                        }
                        line = null;
                    }
                    long remainingNanos = nextNanos - System.nanoTime();
                    if (remainingNanos > 0) {
                        StandInThreads.sleep(remainingNanos / 1_000_000);
                    } else {
                        nextNanos = System.nanoTime();
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
        closed = true;
        for (Thread thread : threads) {
            StandInThreads.join(thread, 3_000);
        }
    }
}
