package beaconladder.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Many modules before one group, in virtual time; what all send to a warming-up host in any window. */
final class ColdFleet {
    static final long MS = 1_000_000L;
    static final int HOSTS = 5;
    static final long TICK = 5 * MS;
    private static final long ZERO = 100_000 * MS;
    /** What a warm host does at once, and how long a request takes there. */
    private static final long WORK = 150 * MS;

    static final long WARM = 10_000 * MS;
    static final double LEAST = 0.2;

    private record Event(long at, long number, Runnable run) {}

    final SplittableRandom chance;
    private final int cores;
    private final double capacity;
    final double multiple;
    final long window;
    private final double[] weights;
    private final double whole;
    private final List<ColdFleetRouter> routers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final long[][] coreFree;
    final long[] launched = new long[HOSTS];
    final boolean[] down = new boolean[HOSTS];
    private final List<ArrayDeque<Long>> sends = new ArrayList<>();
    private double rate;
    long now = ZERO;
    private long numbered;
    /** The largest count in a window, as a share of its budget and what is put down to chance. */
    double worst;
    /** Calls that reached warming-up hosts. */
    int atCold;

    /** So many routers; uneven ones get from a fifth to three times the mean. */
    ColdFleet(long seed, int count, boolean uneven, double multiple, long windowMillis, double load, int cores) {
        this.cores = cores;
        capacity = cores * 1e9 / WORK;
        coreFree = new long[HOSTS][cores];
        chance = new SplittableRandom(seed);
        this.multiple = multiple;
        this.window = windowMillis * MS;
        this.rate = load * HOSTS * capacity;
        weights =
                chance.doubles(count).map(x -> uneven ? Math.pow(15, x) / 5 : 1).toArray();
        whole = Arrays.stream(weights).sum();
        for (int i = 0; i < count; i++) {
            routers.add(new ColdFleetRouter(this, chance.nextLong(), count, 0));
        }
        for (int i = 0; i < HOSTS; i++) {
            sends.add(new ArrayDeque<>());
        }
    }

    /** Lets so much time pass. */
    ColdFleet run(long millis) {
        long end = now + millis * MS;
        while (now < end) {
            now += TICK;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().run().run();
            }
            for (int i = 0; i < routers.size(); i++) {
                double left = rate * weights[i] / whole * TICK / 1e9;
                for (; left > 0 && chance.nextDouble() < left; left--) {
                    routers.get(i).comes();
                }
                routers.get(i).settle();
            }
        }
        return this;
    }

    /** From now on so many times as many requests come in. */
    ColdFleet times(double more) {
        rate *= more;
        return this;
    }

    /** These hosts are out of service: nobody can connect. */
    ColdFleet lose(int... hosts) {
        for (int host : hosts) {
            down[host] = true;
        }
        return this;
    }

    /** These hosts come up warming-up, and all routers are told of it. */
    ColdFleet back(int... hosts) {
        for (int host : hosts) {
            down[host] = false;
            launched[host] = now;
            Arrays.fill(coreFree[host], now);
        }
        for (ColdFleetRouter router : routers) {
            for (int host : hosts) {
                router.listed(host);
            }
        }
        return this;
    }

    /** All routers are killed and start anew at once, with clocks so far ahead of the hosts'. */
    ColdFleet restartAll(long aheadMillis) {
        for (int i = 0; i < routers.size(); i++) {
            routers.get(i).kill();
            routers.set(i, new ColdFleetRouter(this, chance.nextLong(), routers.size(), aheadMillis * MS));
        }
        return this;
    }

    private double share(int host, long at) {
        return launched[host] == 0 || at >= launched[host] + WARM
                ? 1
                : LEAST + (1 - LEAST) * Math.max(0, at - launched[host]) / WARM;
    }

    /** A call reaches a host; when it is done with it, or less than 0: it can't be reached. */
    long reach(int host) {
        if (down[host]) {
            return -1;
        }
        if (launched[host] > 0 && now < launched[host] + WARM) {
            atCold++;
            ArrayDeque<Long> of = sends.get(host);
            of.addLast(now);
            while (of.peekFirst() <= now - window) {
                of.removeFirst();
            }
            double budget = multiple * share(host, Math.max(launched[host], now - window)) * capacity * window / 1e9;
            worst = Math.max(worst, of.size() / (budget + 2 * Math.sqrt(budget) + 2));
        }
        long[] cores = coreFree[host];
        // The core that is free first takes it.
        Arrays.sort(cores);
        cores[0] = Math.max(now, cores[0]) + (long) (WORK / share(host, now));
        return cores[0];
    }

    void at(long moment, Runnable run) {
        events.add(new Event(moment, numbered++, run));
    }
}
