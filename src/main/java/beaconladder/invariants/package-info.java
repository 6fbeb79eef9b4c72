/**
 * The rules that a router must keep, checked while it runs: an attempt after its bytes were written, a rejection, a
 * closed connection, a start. Nothing here takes part in a decision; violations are counted and logged.
 */
package beaconladder.invariants;
