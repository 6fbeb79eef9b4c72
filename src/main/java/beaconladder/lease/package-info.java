/**
 * Leases for tasks that one process of the fleet does at a time, pure: events and the time come in, plain values go
 * out. docs/lease.md tells the design. Times are nanoseconds since 1970 by the clock of whoever is asked; the clock
 * bound is how far any clock of the fleet may be from the true time.
 */
package beaconladder.lease;
