package beaconladder.testbed.scale;

import beaconladder.lease.LeaseHolderState;
import beaconladder.lease.LeaseResponse;
import beaconladder.lease.LeaseTerms;
import beaconladder.lease.server.AnchoredClock;
import beaconladder.lease.server.LeaseClient;
import beaconladder.lease.server.LeaseRequestException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Processes that want a task, hollow: for each the real state machine, a thread and connections of its own, and nothing
 * that it does with the task.
 */
final class SimulatedLeaseClients implements AutoCloseable {
    private static final int STACK = 160 * 1024;
    private static final long MS = 1_000_000;
    private static final long SHORTEST_MILLIS = 2;
    private static final long LONGEST_MILLIS = 500;

    private final AnchoredClock clock = new AnchoredClock();
    private final AtomicReferenceArray<LeaseHolderState> tenures;
    private final int tasks;
    private final List<Thread> threads = new ArrayList<>();
    private final ConcurrentHistogram times = new ConcurrentHistogram(3);
    private final AtomicLong answered = new AtomicLong();
    private final AtomicLong unanswered = new AtomicLong();
    private volatile boolean closed;

    /** So many that begin to ask for these tasks now, all at once. */
    SimulatedLeaseClients(int count, int tasks, String name, List<InetSocketAddress> doors) {
        this.tasks = tasks;
        tenures = new AtomicReferenceArray<>(count);
        for (int i = 0; i < count; i++) {
            tenures.set(
                    i,
                    LeaseHolderState.initial(new LeaseTerms(
                                    name + "-" + i % tasks,
                                    "a" + i + "#1",
                                    LeaseServers.LENGTH_MILLIS * MS,
                                    LeaseServers.BOUND_MILLIS * MS))
                            .want(clock.getAsLong()));
        }
        for (int i = 0; i < count; i++) {
            int asker = i;
            Thread thread = new Thread(null, () -> ask(asker, doors), "asker", STACK);
            thread.setDaemon(true);
            threads.add(thread);
        }
        threads.forEach(Thread::start);
    }

    private void ask(int asker, List<InetSocketAddress> at) {
        try (LeaseClient doors = new LeaseClient(at, asker, (int) LeaseServers.LENGTH_MILLIS / 4)) {
            while (!closed) {
                LeaseHolderState.Step step = tenures.get(asker).onTime(clock.getAsLong());
                tenures.set(asker, step.next());
                if (step.request() != null) {
                    long from = System.nanoTime();
                    try {
                        LeaseResponse answer = doors.send(step.request());
                        times.recordValue((System.nanoTime() - from) / 1_000);
                        answered.incrementAndGet();
                        tenures.set(
                                asker,
                                tenures.get(asker)
                                        .onResponse(answer, clock.getAsLong())
                                        .next());
                    } catch (LeaseRequestException e) {
                        unanswered.incrementAndGet();
                    }
                }
                long left = (tenures.get(asker).wakeupNanos() - clock.getAsLong()) / MS;
                Thread.sleep(Math.max(SHORTEST_MILLIS, Math.min(LONGEST_MILLIS, left)));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** How many of the tasks somebody may act on now. */
    int held() {
        boolean[] held = new boolean[tasks];
        long now = clock.getAsLong();
        for (int i = 0; i < tenures.length(); i++) {
            held[i % tasks] |= tenures.get(i).mayAct(now);
        }
        int count = 0;
        for (boolean each : held) {
            count += each ? 1 : 0;
        }
        return count;
    }

    long answered() {
        return answered.get();
    }

    long unanswered() {
        return unanswered.get();
    }

    /** Times of answers, in microseconds. */
    ConcurrentHistogram times() {
        return times;
    }

    @Override
    public void close() {
        closed = true;
        try {
            for (Thread thread : threads) {
                thread.join(2 * LeaseServers.LENGTH_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
