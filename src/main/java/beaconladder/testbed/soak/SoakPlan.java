package beaconladder.testbed.soak;

import java.util.List;

/**
 * The parameters of a soak.
 *
 * @param seed the seed of the faults; the same seed draws the same sequence of faults
 * @param routers the number of router processes
 * @param rounds the number of rounds, each with two or three overlapping faults
 * @param faultFreeSeconds the time without faults before the first round, in seconds
 * @param pollsDiscovery whether routers poll one discovery service, instead of receiving changes that an agent pushes
 * @param faults the kinds of faults to draw from
 */
public record SoakPlan(
        long seed, int routers, int rounds, int faultFreeSeconds, boolean pollsDiscovery, List<FaultKind> faults) {
    /** Returns a plan with the given faults, pushed discovery and no fault-free time before the first round. */
    public static SoakPlan of(long seed, int routers, int rounds, List<FaultKind> faults) {
        return new SoakPlan(seed, routers, rounds, 0, false, faults);
    }
}
