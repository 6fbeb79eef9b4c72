/**
 * Leases over the network: the lease server as an Apache Ratis state machine, its HTTP endpoint, its client, and the
 * loop that runs a holder. All decisions are made in {@link beaconladder.lease}.
 */
package beaconladder.lease.server;
