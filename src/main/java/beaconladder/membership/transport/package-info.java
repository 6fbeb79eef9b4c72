/**
 * Membership over UDP: JSON datagrams, a socket and a clock for {@link beaconladder.membership.SwimProtocol}, which
 * contains the protocol.
 */
package beaconladder.membership.transport;
