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
 * What a txn costs the module, and a listed host its heap, by the number of hosts: the real module and its rounds
 * before hollow hosts in groups of three, a quarter writes, at the users' rate of one router. Plain, the reads may have
 * any data, so that the module is asked the same at each size; mixed, the older record of more groups has it hold and
 * probe more, which costs too. The hollow hosts' own work, a few draws and a queue of events, is in the figures.
 */
public final class RoutingCost {
    /** Hosts; the last one is the users'. */
    public static final List<Integer> SIZES = List.of(120, 300, 1_200, 2_400, 5_800);
    /** Txns before those measured, so that the compiler is done and hosts have been heard of. */
    private static final int WARM_UP = 30_000;

    private static final int MEASURED = 5_000;
    /** The best of so many stretches counts: others on the machine can only add. */
    private static final int STRETCHES = 30;

    private RoutingCost() {}

    /** One size; the same script for the same seed, its times as measured. */
    public static Map<String, Object> measure(int hosts, long seed) {
        SimulatedHosts truth = new SimulatedHosts(hosts / SimulatedHosts.MEMBERS, new SplittableRandom(seed), 0);
        // First, since what the first router brings up in the machine stays, and is none of a host's.
        double mixed = micros(List.of(new SimulatedRouter(
                truth, new SplittableRandom(seed), SimulatedRouter.MIXED, keepIdle -> new Blind())))[0];
        long before = heap();
        SimulatedRouter router =
                new SimulatedRouter(truth, new SplittableRandom(seed), SimulatedRouter.PLAIN, keepIdle -> new Blind());
        long heap = heap() - before;
        double plain = micros(List.of(router))[0];
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("hosts", truth.count());
        figures.put("groups", truth.count() / SimulatedHosts.MEMBERS);
        figures.put("seed", seed);
        figures.put("txns", STRETCHES * MEASURED);
        figures.put("micros_a_txn", plain);
        figures.put("share_of_core", plain * SimulatedRouter.RATE / 1e6);
        figures.put("mixed_micros_a_txn", mixed);
        figures.put("mixed_share_of_core", mixed * SimulatedRouter.RATE / 1e6);
        figures.put("heap_bytes_a_host", (double) heap / truth.count());
        return figures;
    }

    /** How many times as much a txn costs among so many groups as among so few, measured in turns. */
    static double ratio(int few, int many, List<Double> upTo, long seed) {
        double[] micros = micros(IntStream.of(few, many)
                .mapToObj(groups -> new SimulatedRouter(
                        new SimulatedHosts(groups, new SplittableRandom(seed), 0),
                        new SplittableRandom(seed),
                        upTo,
                        keepIdle -> new Blind()))
                .toList());
        return micros[1] / micros[0];
    }

    /** Microseconds of this thread a txn, at each of these routers. */
    private static double[] micros(List<SimulatedRouter> routers) {
        routers.forEach(router -> router.play(WARM_UP));
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        double[] best = routers.stream().mapToDouble(router -> Double.MAX_VALUE).toArray();
        for (int i = 1; i <= STRETCHES; i++) {
            for (int j = 0; j < best.length; j++) {
                long from = threads.getCurrentThreadCpuTime();
                routers.get(j).play(WARM_UP + (long) i * MEASURED);
                best[j] = Math.min(best[j], (threads.getCurrentThreadCpuTime() - from) / 1e3 / MEASURED);
            }
        }
        return best;
    }

    private static long heap() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        // The serial collector leaves some of what is dead where it lies, but for each fourth time.
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }

    /** Prints each size, a line of JSON each: {@code [seed]}. */
    public static void main(String[] args) throws JsonProcessingException {
        for (int hosts : SIZES) {
            System.out.println(new ObjectMapper()
                    .writeValueAsString(measure(hosts, args.length > 0 ? Long.parseLong(args[0]) : 1)));
        }
    }

    /** Looks at nothing, so that only the module is measured. */
    private static final class Blind implements SimulatedRouter.Watcher {}
}
