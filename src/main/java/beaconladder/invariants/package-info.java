/**
 * The rules that a router must keep, checked while it runs: an attempt after its bytes have gone, a refusal, a close, a
 * start. Nothing here decides anything; what does not hold is counted and logged.
 */
package beaconladder.invariants;
