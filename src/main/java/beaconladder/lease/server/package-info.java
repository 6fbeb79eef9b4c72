/**
 * Leases over the network: the lease server as a state machine of Apache Ratis, its HTTP endpoint, its client, and the
 * loop of a holder. All decisions are those of {@link beaconladder.lease}.
 */
package beaconladder.lease.server;
