package beaconladder.testbed.scale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Measures the processor time of a transaction in the routing module, and the heap of a listed host, by number of
 * hosts: the real module and its decision loop with simulated hosts in groups of three, a quarter writes, at the users'
 * rate for one router. In the plain mix, reads accept data of any age, so that the module is asked the same at each
 * size; in the mixed one, the older record of more groups makes it hold and probe more, which costs time too. The
 * figures include the work of the simulated hosts, a few random draws and an event queue.
 */
public final class RoutingCost {
    /** Numbers of hosts; the last one is that of the users' fleet. */
    public static final List<Integer> SIZES = List.of(120, 300, 1_200, 2_400, 5_800);
    /** Transactions before the measured ones, so that code is compiled and hosts have reported. */
    private static final int WARM_UP_TXNS = 30_000;

    private static final int TXNS_PER_STRETCH = 5_000;
    /**
     * The number of measured stretches, of which the fastest counts: other programs on the machine can only add time.
     */
    private static final int STRETCHES = 30;

    private RoutingCost() {}

    /** Measures one size. The same seed gives the same sequence of events; times are as measured. */
    public static Map<String, Object> measure(int hosts, long seed) {
        SimulatedHosts simulatedHosts =
                new SimulatedHosts(hosts / SimulatedHosts.GROUP_SIZE, new SplittableRandom(seed), 0);
        // Runs first, because what the first router initializes in the JVM stays and does not belong to a host.
        double mixed = micros(List.of(new SimulatedRouter(
                simulatedHosts,
                new SplittableRandom(seed),
                SimulatedRouter.MIXED_SHARES,
                maxIdleNanos -> new NoObserver())))[0];
        long before = usedHeapBytes();
        SimulatedRouter router = new SimulatedRouter(
                simulatedHosts,
                new SplittableRandom(seed),
                SimulatedRouter.PLAIN_SHARES,
                maxIdleNanos -> new NoObserver());
        long usedHeapBytes = usedHeapBytes() - before;
        double plain = micros(List.of(router))[0];
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("hosts", simulatedHosts.count());
        figures.put("groups", simulatedHosts.count() / SimulatedHosts.GROUP_SIZE);
        figures.put("seed", seed);
        figures.put("txns", STRETCHES * TXNS_PER_STRETCH);
        figures.put("micros_a_txn", plain);
        figures.put("share_of_core", plain * SimulatedRouter.STATEMENTS_PER_SECOND / 1e6);
        figures.put("mixed_micros_a_txn", mixed);
        figures.put("mixed_share_of_core", mixed * SimulatedRouter.STATEMENTS_PER_SECOND / 1e6);
        figures.put("heap_bytes_a_host", (double) usedHeapBytes / simulatedHosts.count());
        return figures;
    }

    /** Returns the ratio of a transaction's cost among many groups to that among few, measured in alternation. */
    static double ratio(int fewGroups, int manyGroups, List<Double> cumulativeShares, long seed) {
        double[] micros = micros(IntStream.of(fewGroups, manyGroups)
                .mapToObj(groups -> new SimulatedRouter(
                        new SimulatedHosts(groups, new SplittableRandom(seed), 0),
                        new SplittableRandom(seed),
                        cumulativeShares,
                        maxIdleNanos -> new NoObserver()))
                .toList());
        return micros[1] / micros[0];
    }

    /** Returns the processor time of this thread for a transaction at each of these routers, in microseconds. */
    private static double[] micros(List<SimulatedRouter> routers) {
        routers.forEach(router -> router.runUntilArrivals(WARM_UP_TXNS));
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        double[] best = routers.stream().mapToDouble(router -> Double.MAX_VALUE).toArray();
        for (int i = 1; i <= STRETCHES; i++) {
            for (int j = 0; j < best.length; j++) {
                long startCpuNanos = threads.getCurrentThreadCpuTime();
                routers.get(j).runUntilArrivals(WARM_UP_TXNS + (long) i * TXNS_PER_STRETCH);
                best[j] =
                        Math.min(best[j], (threads.getCurrentThreadCpuTime() - startCpuNanos) / 1e3 / TXNS_PER_STRETCH);
            }
        }
        return best;
    }

    private static long usedHeapBytes() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        // The serial collector leaves some dead objects in place except in each fourth collection.
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }

    /** Prints one line of JSON for each size. Arguments: {@code [seed]}. */
    public static void main(String[] args) throws JsonProcessingException {
        for (int hosts : SIZES) {
            System.out.println(new ObjectMapper()
                    .writeValueAsString(measure(hosts, args.length > 0 ? Long.parseLong(args[0]) : 1)));
        }
    }

    /** Observes nothing, so that only the module is measured. */
    private static final class NoObserver implements SimulatedRouter.Observer {}
}
