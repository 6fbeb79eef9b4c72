package beaconladder.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Many routers in front of one group, in virtual time. Counts what all of them together send to a host in slow start in
 * any window of the slow-start rule.
 */
final class SlowStartFleet {
    static final long MS = 1_000_000L;
    static final int HOSTS = 5;
    static final long TICK_NANOS = 5 * MS;
    private static final long START_NANOS = 100_000 * MS;
    /** How long a request occupies a core of a warm host. */
    private static final long WORK_NANOS = 150 * MS;

    static final long SLOW_START_NANOS = 10_000 * MS;
    static final double MIN_SHARE = 0.2;

    private record Event(long timeNanos, long sequence, Runnable action) {}

    final SplittableRandom random;
    private final int cores;
    /** What a warm host can serve. */
    private final double requestsPerSecond;

    final double slowStartMultiple;
    final long windowNanos;
    private final double[] weights;
    private final double totalWeight;
    private final List<SlowStartFleetRouter> routers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));
    private final long[][] coreFreeNanos;
    final long[] launchedNanos = new long[HOSTS];
    final boolean[] down = new boolean[HOSTS];
    private final List<ArrayDeque<Long>> sendTimes = new ArrayList<>();
    private double arrivalsPerSecond;
    long nowNanos = START_NANOS;
    private long eventCount;
    /** The largest number of sends in a window, as a share of its budget plus the allowance for random variation. */
    double maxBudgetShare;
    /** The number of sends that reached hosts in slow start. */
    int slowStartSends;

    /**
     * Creates a fleet with this many routers. With uneven traffic their weights range from 0.2 to 3.
     *
     * @param load the arrivals as a share of the capacity of all hosts
     */
    SlowStartFleet(
            long seed, int count, boolean uneven, double slowStartMultiple, long windowMillis, double load, int cores) {
        this.cores = cores;
        requestsPerSecond = cores * 1e9 / WORK_NANOS;
        coreFreeNanos = new long[HOSTS][cores];
        random = new SplittableRandom(seed);
        this.slowStartMultiple = slowStartMultiple;
        this.windowNanos = windowMillis * MS;
        this.arrivalsPerSecond = load * HOSTS * requestsPerSecond;
        weights =
                random.doubles(count).map(x -> uneven ? Math.pow(15, x) / 5 : 1).toArray();
        totalWeight = Arrays.stream(weights).sum();
        for (int i = 0; i < count; i++) {
            routers.add(new SlowStartFleetRouter(this, random.nextLong(), count, 0));
        }
        for (int i = 0; i < HOSTS; i++) {
            sendTimes.add(new ArrayDeque<>());
        }
    }

    /** Runs the fleet for this long. */
    SlowStartFleet runFor(long millis) {
        long endNanos = nowNanos + millis * MS;
        while (nowNanos < endNanos) {
            nowNanos += TICK_NANOS;
            while (!events.isEmpty() && events.peek().timeNanos() <= nowNanos) {
                events.poll().action().run();
            }
            for (int i = 0; i < routers.size(); i++) {
                double expectedArrivals = arrivalsPerSecond * weights[i] / totalWeight * TICK_NANOS / 1e9;
                for (; expectedArrivals > 0 && random.nextDouble() < expectedArrivals; expectedArrivals--) {
                    routers.get(i).onArrival();
                }
                routers.get(i).processDue();
            }
        }
        return this;
    }

    /** Multiplies the rate of arrivals from now on. */
    SlowStartFleet multiplyLoad(double factor) {
        arrivalsPerSecond *= factor;
        return this;
    }

    /** Takes these hosts out of service: connects fail. */
    SlowStartFleet takeDown(int... hosts) {
        for (int host : hosts) {
            down[host] = true;
        }
        return this;
    }

    /** Starts these hosts, in slow start, and notifies all routers. */
    SlowStartFleet startHosts(int... hosts) {
        for (int host : hosts) {
            down[host] = false;
            launchedNanos[host] = nowNanos;
            Arrays.fill(coreFreeNanos[host], nowNanos);
        }
        for (SlowStartFleetRouter router : routers) {
            for (int host : hosts) {
                router.updateHost(host);
            }
        }
        return this;
    }

    /** Kills all routers and starts new ones at once, with clocks this far ahead of the hosts' clock. */
    SlowStartFleet restartRouters(long clockAheadMillis) {
        for (int i = 0; i < routers.size(); i++) {
            routers.get(i).kill();
            routers.set(i, new SlowStartFleetRouter(this, random.nextLong(), routers.size(), clockAheadMillis * MS));
        }
        return this;
    }

    /** Returns the share of a warm host's capacity that this host has at this time. */
    private double capacityShare(int host, long timeNanos) {
        return launchedNanos[host] == 0 || timeNanos >= launchedNanos[host] + SLOW_START_NANOS
                ? 1
                : MIN_SHARE + (1 - MIN_SHARE) * Math.max(0, timeNanos - launchedNanos[host]) / SLOW_START_NANOS;
    }

    /** Executes a request at a host that may be down; returns when it ends, or -1 if the host is down. */
    long execute(int host) {
        if (down[host]) {
            return -1;
        }
        if (launchedNanos[host] > 0 && nowNanos < launchedNanos[host] + SLOW_START_NANOS) {
            slowStartSends++;
            ArrayDeque<Long> windowSends = sendTimes.get(host);
            windowSends.addLast(nowNanos);
            while (windowSends.peekFirst() <= nowNanos - windowNanos) {
                windowSends.removeFirst();
            }
            double budget = slowStartMultiple
                    * capacityShare(host, Math.max(launchedNanos[host], nowNanos - windowNanos))
                    * requestsPerSecond
                    * windowNanos
                    / 1e9;
            maxBudgetShare = Math.max(maxBudgetShare, windowSends.size() / (budget + 2 * Math.sqrt(budget) + 2));
        }
        long[] cores = coreFreeNanos[host];
        // The core that is free first executes it.
        Arrays.sort(cores);
        cores[0] = Math.max(nowNanos, cores[0]) + (long) (WORK_NANOS / capacityShare(host, nowNanos));
        return cores[0];
    }

    /** Schedules an action at this time. */
    void schedule(long timeNanos, Runnable action) {
        events.add(new Event(timeNanos, eventCount++, action));
    }
}
