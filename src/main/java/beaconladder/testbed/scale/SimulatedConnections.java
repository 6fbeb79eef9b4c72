package beaconladder.testbed.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** The connections of a hollow router to its hosts, by the rules of the real ones; no sockets. */
final class SimulatedConnections {
    /** As the real ones rest before the next use. */
    private static final long RESTED = 3_000_000;

    private final long keepIdle;
    /** Whether connections are closed when the module asks for it; else only those idle too long. */
    private final boolean closes;

    private final List<Deque<Long>> idle = new ArrayList<>();
    private final int[] inUse;
    /** To primaries and to replicas: connections made, and the sums of those open and in use at the looks. */
    private final long[] made = new long[2];

    private final long[] open = new long[2];
    private final long[] used = new long[2];
    private long looks;

    SimulatedConnections(int hosts, long keepIdle, boolean closes) {
        this.keepIdle = keepIdle;
        this.closes = closes;
        inUse = new int[hosts];
        for (int i = 0; i < hosts; i++) {
            idle.add(new ArrayDeque<>());
        }
    }

    private static int role(int host) {
        return SimulatedHosts.isPrimary(host) ? 0 : 1;
    }

    /** A call to this host: on the newest connection that has rested, or on a new one. */
    void take(int host, long now) {
        inUse[host]++;
        for (Long at : idle.get(host)) {
            if (at < now - keepIdle) {
                break;
            }
            if (at <= now - RESTED) {
                idle.get(host).remove(at);
                return;
            }
        }
        made[role(host)]++;
    }

    void free(int host, long now) {
        inUse[host]--;
        idle.get(host).addFirst(now);
    }

    void close(int host) {
        if (closes) {
            idle.get(host).clear();
        }
    }

    /** Lets go of what lay idle too long, and counts. */
    void look(long now) {
        looks++;
        for (int i = 0; i < inUse.length; i++) {
            Deque<Long> of = idle.get(i);
            while (!of.isEmpty() && of.peekLast() < now - keepIdle) {
                of.removeLast();
            }
            open[role(i)] += inUse[i] + of.size();
            used[role(i)] += inUse[i];
        }
    }

    /** Forgets what was counted, not what is open. */
    void reset() {
        for (long[] counts : List.of(made, open, used)) {
            counts[0] = 0;
            counts[1] = 0;
        }
        looks = 0;
    }

    /** Connections made so far, to primaries (0) or replicas (1). */
    long made(int role) {
        return made[role];
    }

    /** Open at a look, on the mean. */
    double open(int role) {
        return looks == 0 ? 0 : (double) open[role] / looks;
    }

    /** In use at a look, on the mean. */
    double used(int role) {
        return looks == 0 ? 0 : (double) used[role] / looks;
    }
}
