package beaconladder.testbed.soak;

import java.util.List;

/**
 * What a soak plays.
 *
 * @param seed draws the troubles; the same one gives the same script
 * @param routers how many real processes
 * @param rounds how often two or three troubles begin together
 * @param quietSeconds how long all is well before the first of them
 * @param asks whether discovery is one service that is asked, or an agent that is told of changes
 * @param troubles what is drawn from
 */
public record SoakPlan(long seed, int routers, int rounds, int quietSeconds, boolean asks, List<FaultKind> troubles) {
    /** One without a quiet time, of all troubles or those given. */
    public static SoakPlan of(long seed, int routers, int rounds, List<FaultKind> troubles) {
        return new SoakPlan(seed, routers, rounds, 0, false, troubles);
    }
}
