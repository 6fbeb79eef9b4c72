/**
 * Leases for tasks that one process of the fleet runs at a time, as pure state machines: they take events and the
 * current time, and return plain values. {@link beaconladder.lease.LeaseTable} is the server's side,
 * {@link beaconladder.lease.LeaseHolderState} the holder's, and {@link beaconladder.lease.FencingGuard} that of a
 * shared resource. docs/lease.md describes the design. Times are nanoseconds since the Unix epoch by the clock of the
 * process that handles the event; the clock bound is the largest difference between any clock of the fleet and the true
 * time. {@link beaconladder.lease.FencedRecords} is kept for later stages of the roadmap: only tests use it so far.
 */
package beaconladder.lease;
