/**
 * A change that reaches the routers of a fleet in stages, judged against those not yet changed. What is judged is plain
 * functions over plain values; the conductor is a task, written straight down. docs/rollout.md.
 */
package beaconladder.rollout;
