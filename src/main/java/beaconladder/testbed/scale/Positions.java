package beaconladder.testbed.scale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Where the paper's mechanism strains: one router's record of positions, fed by answers, reports and probes, at the
 * users' 902 statements a second spread over more and more groups. The module is the real one, hosts are hollow and
 * well; the same seed gives the same figures.
 */
public final class Positions {
    /** Groups of three hosts; the last one is the users' fleet. */
    public static final List<Integer> SIZES = List.of(40, 120, 400, 1_200, 1_933);
    /** Until what was heard at the start is no longer what counts. */
    private static final int WARM_UP_SECONDS = 30;

    private Positions() {}

    /** So many groups, for so many seconds of virtual time after the warm-up. */
    public static Map<String, Object> run(int groups, long seed, int seconds) {
        return run(groups, seed, WARM_UP_SECONDS, seconds, 0);
    }

    /** The same from the start, where the record is empty, as after a restart. */
    public static Map<String, Object> cold(int groups, long seed, int seconds) {
        return run(groups, seed, 0, seconds, 0);
    }

    /** The same before replicas that lie so much further behind than they claim. */
    static Map<String, Object> run(int groups, long seed, int warmUp, int seconds, long hidden) {
        SimulatedHosts truth = new SimulatedHosts(groups, new SplittableRandom(seed), hidden);
        PositionMetrics[] sight = new PositionMetrics[1];
        SimulatedRouter router = new SimulatedRouter(
                truth,
                new SplittableRandom(seed),
                SimulatedRouter.MIXED,
                keepIdle -> sight[0] = new PositionMetrics(truth, keepIdle));
        router.play((long) (SimulatedRouter.RATE * warmUp));
        sight[0].reset();
        long from = router.now();
        router.play((long) (SimulatedRouter.RATE * (warmUp + seconds)));
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("groups", groups);
        figures.put("hosts", truth.count());
        figures.put("seed", seed);
        figures.put("warm_up_s", warmUp);
        figures.put("txns", (long) (SimulatedRouter.RATE * seconds));
        sight[0].figures(figures, (router.now() - from) / 1e9);
        return figures;
    }

    /** Prints each size, a line of JSON each: {@code [seed] [seconds] [cold]}. */
    public static void main(String[] args) throws JsonProcessingException {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 60;
        for (int groups : SIZES) {
            System.out.println(new ObjectMapper()
                    .writeValueAsString(args.length > 2 ? cold(groups, seed, seconds) : run(groups, seed, seconds)));
        }
    }
}
