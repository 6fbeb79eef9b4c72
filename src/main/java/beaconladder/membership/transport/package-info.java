/**
 * Membership over UDP: datagrams of JSON, a socket and a clock for {@link beaconladder.membership.SwimProtocol}, which
 * makes all decisions.
 */
package beaconladder.membership.transport;
