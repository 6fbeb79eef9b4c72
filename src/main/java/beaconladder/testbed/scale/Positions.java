package beaconladder.testbed.scale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Measures one router's record of replica positions, fed by answers, reports and probes, at the users' 902 statements
 * per second spread over more and more groups, where the mechanism of the paper reaches its limits. The routing module
 * is real; hosts are simulated and have no faults. The same seed gives the same figures.
 */
public final class Positions {
    /** Numbers of groups of three hosts; the last one is that of the users' fleet. */
    public static final List<Integer> SIZES = List.of(40, 120, 400, 1_200, 1_933);
    /** Long enough that reports from the start no longer decide. */
    private static final int WARM_UP_SECONDS = 30;

    private Positions() {}

    /** Runs so many groups for so many seconds of virtual time after the warm-up. */
    public static Map<String, Object> run(int groups, long seed, int seconds) {
        return run(groups, seed, WARM_UP_SECONDS, seconds, 0);
    }

    /** Runs the same without a warm-up, with an empty record, as after a restart. */
    public static Map<String, Object> cold(int groups, long seed, int seconds) {
        return run(groups, seed, 0, seconds, 0);
    }

    /** Runs the same with replicas that are this many nanoseconds further behind than they claim. */
    static Map<String, Object> run(int groups, long seed, int warmUpSeconds, int seconds, long unreportedLagNanos) {
        SimulatedHosts simulatedHosts = new SimulatedHosts(groups, new SplittableRandom(seed), unreportedLagNanos);
        PositionMetrics[] metrics = new PositionMetrics[1];
        SimulatedRouter router = new SimulatedRouter(
                simulatedHosts,
                new SplittableRandom(seed),
                SimulatedRouter.MIXED_SHARES,
                maxIdleNanos -> metrics[0] = new PositionMetrics(simulatedHosts, maxIdleNanos));
        router.runUntilArrivals((long) (SimulatedRouter.STATEMENTS_PER_SECOND * warmUpSeconds));
        metrics[0].reset();
        long startNanos = router.now();
        router.runUntilArrivals((long) (SimulatedRouter.STATEMENTS_PER_SECOND * (warmUpSeconds + seconds)));
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("groups", groups);
        figures.put("hosts", simulatedHosts.count());
        figures.put("seed", seed);
        figures.put("warm_up_s", warmUpSeconds);
        figures.put("txns", (long) (SimulatedRouter.STATEMENTS_PER_SECOND * seconds));
        metrics[0].figures(figures, (router.now() - startNanos) / 1e9);
        return figures;
    }

    /** Prints one line of JSON for each size. Arguments: {@code [seed] [seconds] [cold]}. */
    public static void main(String[] args) throws JsonProcessingException {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 60;
        for (int groups : SIZES) {
            System.out.println(new ObjectMapper()
                    .writeValueAsString(args.length > 2 ? cold(groups, seed, seconds) : run(groups, seed, seconds)));
        }
    }
}
