/**
 * Run-time checks of the rules that a router must keep: on each attempt after its bytes were written, each rejection,
 * each closed connection and each start. The checks do not affect any decision; violations are counted and logged.
 */
package beaconladder.invariants;
