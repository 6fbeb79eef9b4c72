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
 * Simulated lease clients: each has the real state machine, a thread and connections of its own, and no task to run.
 */
final class SimulatedLeaseClients implements AutoCloseable {
    private static final int STACK_BYTES = 160 * 1024;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_SLEEP_MILLIS = 2;
    private static final long MAX_SLEEP_MILLIS = 500;

    private final AnchoredClock clock = new AnchoredClock();
    private final AtomicReferenceArray<LeaseHolderState> states;
    private final int tasks;
    private final List<Thread> threads = new ArrayList<>();
    private final ConcurrentHistogram times = new ConcurrentHistogram(3);
    private final AtomicLong answered = new AtomicLong();
    private final AtomicLong unanswered = new AtomicLong();
    private volatile boolean closed;

    /** Starts so many clients that request leases on these tasks, all at once. */
    SimulatedLeaseClients(int count, int tasks, String name, List<InetSocketAddress> servers) {
        this.tasks = tasks;
        states = new AtomicReferenceArray<>(count);
        for (int i = 0; i < count; i++) {
            states.set(
                    i,
                    LeaseHolderState.initial(new LeaseTerms(
                                    name + "-" + i % tasks,
                                    "a" + i + "#1",
                                    LeaseServers.LEASE_MILLIS * NANOS_PER_MILLI,
                                    LeaseServers.CLOCK_BOUND_MILLIS * NANOS_PER_MILLI))
                            .want(clock.getAsLong()));
        }
        for (int i = 0; i < count; i++) {
            int client = i;
            Thread thread = new Thread(null, () -> runClient(client, servers), "lease-client", STACK_BYTES);
            thread.setDaemon(true);
            threads.add(thread);
        }
        threads.forEach(Thread::start);
    }

    private void runClient(int client, List<InetSocketAddress> addresses) {
        try (LeaseClient servers = new LeaseClient(addresses, client, (int) LeaseServers.LEASE_MILLIS / 4)) {
            while (!closed) {
                LeaseHolderState.Step step = states.get(client).onTime(clock.getAsLong());
                states.set(client, step.next());
                if (step.request() != null) {
                    long startNanos = System.nanoTime();
                    try {
                        LeaseResponse response = servers.send(step.request());
                        times.recordValue((System.nanoTime() - startNanos) / 1_000);
                        answered.incrementAndGet();
                        states.set(
                                client,
                                states.get(client)
                                        .onResponse(response, clock.getAsLong())
                                        .next());
                    } catch (LeaseRequestException e) {
                        unanswered.incrementAndGet();
                    }
                }
                long remainingMillis = (states.get(client).wakeupNanos() - clock.getAsLong()) / NANOS_PER_MILLI;
                Thread.sleep(Math.max(MIN_SLEEP_MILLIS, Math.min(MAX_SLEEP_MILLIS, remainingMillis)));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns how many of the tasks have a holder that may act now. */
    int heldTasks() {
        boolean[] held = new boolean[tasks];
        long now = clock.getAsLong();
        for (int i = 0; i < states.length(); i++) {
            held[i % tasks] |= states.get(i).mayAct(now);
        }
        int count = 0;
        for (boolean taskHeld : held) {
            count += taskHeld ? 1 : 0;
        }
        return count;
    }

    long answered() {
        return answered.get();
    }

    long unanswered() {
        return unanswered.get();
    }

    /** Returns the response times, in microseconds. */
    ConcurrentHistogram times() {
        return times;
    }

    @Override
    public void close() {
        closed = true;
        try {
            for (Thread thread : threads) {
                thread.join(2 * LeaseServers.LEASE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
