package beaconladder.testbed.soak;

import java.util.List;

/**
 * What a soak plays.
 *
 * @param seed draws the faults; the same one gives the same script
 * @param routers how many real processes
 * @param rounds how often two or three faults begin together
 * @param quietSeconds how long all is well before the first of them
 * @param asks whether discovery is one service that is asked, or an agent that pushes changes
 * @param faults what is drawn from
 */
public record SoakPlan(long seed, int routers, int rounds, int quietSeconds, boolean asks, List<FaultKind> faults) {
    /** One without a quiet time, of all faults or those given. */
    public static SoakPlan of(long seed, int routers, int rounds, List<FaultKind> faults) {
        return new SoakPlan(seed, routers, rounds, 0, false, faults);
    }
}
