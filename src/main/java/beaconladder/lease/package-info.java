/**
 * Leases for tasks that one process of the fleet runs at a time, as pure state machines: events and the time come in,
 * plain values go out. {@link beaconladder.lease.LeaseTable} is the server's side,
 * {@link beaconladder.lease.LeaseHolderState} the holder's, {@link beaconladder.lease.FencingGuard} that of a shared
 * resource. docs/lease.md describes the design. Times are nanoseconds since 1970 by the clock of whoever handles the
 * event; the clock bound is how far any clock of the fleet may be from the true time. FencedRecords is kept for the
 * next stages of the plan: nothing outside of the tests writes them yet.
 */
package beaconladder.lease;
