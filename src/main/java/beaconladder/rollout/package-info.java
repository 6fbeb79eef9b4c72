/**
 * A change that reaches the routers of a fleet in stages, evaluated against those not yet changed: pure functions over
 * plain values. Kept for the next stages of the plan; nothing outside of its tests uses it yet. docs/rollout.md.
 */
package beaconladder.rollout;
