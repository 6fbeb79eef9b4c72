package beaconladder.testbed.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Simulates the connections of a router to its hosts, by the rules of the real ones and without sockets. */
final class SimulatedConnections {
    /** The time that a real connection rests before its next use, in nanoseconds. */
    private static final long MIN_REST_NANOS = 3_000_000;

    private final long maxIdleNanos;
    /** Whether connections are closed when the module asks for it; otherwise only after they were idle too long. */
    private final boolean closeOnRequest;

    private final List<Deque<Long>> idle = new ArrayList<>();
    private final int[] inUse;
    /** For primaries and replicas: connections opened, and the sums of open and used connections over all samples. */
    private final long[] opened = new long[2];

    private final long[] openSum = new long[2];
    private final long[] inUseSum = new long[2];
    private long samples;

    SimulatedConnections(int hosts, long maxIdleNanos, boolean closeOnRequest) {
        this.maxIdleNanos = maxIdleNanos;
        this.closeOnRequest = closeOnRequest;
        inUse = new int[hosts];
        for (int i = 0; i < hosts; i++) {
            idle.add(new ArrayDeque<>());
        }
    }

    private static int roleIndex(int host) {
        return SimulatedHosts.isPrimary(host) ? 0 : 1;
    }

    /** Takes a connection for a call to this host: the newest one that has rested, or a new one. */
    void acquire(int host, long now) {
        inUse[host]++;
        for (Long releasedAt : idle.get(host)) {
            if (releasedAt < now - maxIdleNanos) {
                break;
            }
            if (releasedAt <= now - MIN_REST_NANOS) {
                idle.get(host).remove(releasedAt);
                return;
            }
        }
        opened[roleIndex(host)]++;
    }

    void release(int host, long now) {
        inUse[host]--;
        idle.get(host).addFirst(now);
    }

    void closeIdle(int host) {
        if (closeOnRequest) {
            idle.get(host).clear();
        }
    }

    /** Closes connections that were idle too long, and takes a sample. */
    void sample(long now) {
        samples++;
        for (int i = 0; i < inUse.length; i++) {
            Deque<Long> idleHere = idle.get(i);
            while (!idleHere.isEmpty() && idleHere.peekLast() < now - maxIdleNanos) {
                idleHere.removeLast();
            }
            openSum[roleIndex(i)] += inUse[i] + idleHere.size();
            inUseSum[roleIndex(i)] += inUse[i];
        }
    }

    /** Resets the counts and keeps the open connections. */
    void reset() {
        for (long[] counts : List.of(opened, openSum, inUseSum)) {
            counts[0] = 0;
            counts[1] = 0;
        }
        samples = 0;
    }

    /** Returns the number of connections opened so far, to primaries (0) or replicas (1). */
    long opened(int role) {
        return opened[role];
    }

    /** Returns the mean number of open connections over the samples. */
    double meanOpen(int role) {
        return samples == 0 ? 0 : (double) openSum[role] / samples;
    }

    /** Returns the mean number of connections in use over the samples. */
    double meanInUse(int role) {
        return samples == 0 ? 0 : (double) inUseSum[role] / samples;
    }
}
