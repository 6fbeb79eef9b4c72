/**
 * Leases on sockets: the grantor as a state machine of Apache Ratis, its door for those who ask, and a holder's loop.
 * All decisions are those of {@link beaconladder.lease}.
 */
package beaconladder.lease.server;
