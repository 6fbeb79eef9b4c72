/**
 * Staged rollouts: which routers a change reaches at which stage, and the comparison of the changed routers with the
 * others. All functions are pure. Kept for later stages of the roadmap: only tests use this package so far.
 * docs/rollout.md describes the design.
 */
package beaconladder.rollout;
